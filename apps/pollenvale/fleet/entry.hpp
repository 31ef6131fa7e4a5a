/// \file
/// The scheduler process of an entry VM on the users' platform.
#pragma once

namespace pollenvale::fleet {

/// Runs until SIGTERM. Returns the exit code.
int runEntry(const char *BootFile);

} // namespace pollenvale::fleet
