// How the process's file descriptors are divided: attempts in flight come first, then a fifth of the rest for
// idle connections to endpoints, then the listeners of the daemon file; the platform's listener gets what is
// left. Pure functions.
#pragma once

#include "../listener/resp/resp_listener.h"
#include "../transport/http/http_transport.h"
#include "config.h"
#include "daemon_file.h"

namespace grademux {

/// Limits of the platform's listener. Throws std::runtime_error when the listeners of the daemon file leave
/// it fewer connections than it needs.
RespListener::Limits clientLimits(const Config& config, const DaemonFile& daemon_file);

/// For a standalone program, which has no platform listener: throws std::runtime_error when the listeners of
/// the daemon file ask for more connections than there are descriptors.
void checkListenerBudget(const Config& config, const DaemonFile& daemon_file);

/// Timeouts and number of idle connections of the HTTP transport.
HttpTransport::Limits transportLimits(const Config& config);

}  // namespace grademux
