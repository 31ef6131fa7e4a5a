/// \file
/// HTTP by library: a server on RESTinio, a client on libcurl.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/loop.hpp"
#include "http/detail/server.hpp"
