// Notification of the service manager, as sd_notify(3): one datagram to the socket that NOTIFY_SOCKET names.
// Without that variable the functions do nothing.
#pragma once

#include <string>

namespace grademux {

/// Sends a state such as "READY=1" or "STOPPING=1", or several as lines. Errors are ignored: the sender works
/// without its service manager.
void notifyServiceManager(const std::string& state);
/// Announces a reload, with the monotonic time in microseconds that the service manager requires.
void notifyReloading();

}  // namespace grademux
