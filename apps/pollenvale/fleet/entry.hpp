/// \file
/// The scheduler process of an entry VM on the users' platform.
#pragma once

namespace pollenvale::fleet {

/// Runs an entry with the settings in \p BootFile. Ends the process with exit
/// code 0 after SIGTERM; returns 2 when the settings are invalid, 1 when the
/// entry fails with an exception.
int runEntry(const char *BootFile);

} // namespace pollenvale::fleet
