/// \file
/// HTTP server based on RESTinio, HTTP client with its own thread based on
/// libcurl, and HTTP client on an event loop of the caller based on Asio.
#pragma once

#include "http/detail/client.hpp"
#include "http/detail/loop.hpp"
#include "http/detail/server.hpp"
