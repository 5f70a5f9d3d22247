// grademux: what a service manager is told (sd_notify(3)): one datagram to the socket that NOTIFY_SOCKET
// names. Where there is none, nothing is done.
#pragma once

#include <string>

namespace grademux {

// "READY=1", "STOPPING=1", or lines of them. A manager that doesn't hear is no reason to fail.
void notifyManager(const std::string& state);
// Before a reload: with the moment (monotonic, microseconds) that the manager compares.
void notifyReloading();

}  // namespace grademux
