// Announces that the process serves clients.
#pragma once

#include "sender_components.h"

namespace grademux {

/// Notifies the service manager, and logs the version, the addresses of all listeners and the number of
/// partners.
void announceReady(const SenderComponents& components);

}  // namespace grademux
