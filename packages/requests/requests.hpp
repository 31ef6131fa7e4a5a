/// \file
/// Requests to services: admission, queues at the entry, short-lived slot
/// grants from the holders of instances, dispatch, retries and outcomes.
#pragma once

#include "requests/detail/dispatch.hpp"
#include "requests/detail/messages.hpp"
#include "requests/detail/queue.hpp"
#include "requests/detail/slots.hpp"
