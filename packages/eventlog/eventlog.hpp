/// \file
/// Typed records on the platform's log service for the state that must survive
/// the loss of a VM: batched appends, and the tail that reads them back.
#pragma once

#include "eventlog/detail/record.hpp"
#include "eventlog/detail/tail.hpp"
