/// \file
/// HTTP server based on RESTinio and HTTP client based on libcurl.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/loop.hpp"
#include "http/detail/server.hpp"
