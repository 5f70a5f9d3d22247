// Announcement of readiness; see readiness.h.
#include "readiness.h"

#include <sstream>

#include "../log/log.h"
#include "notify.h"
#include "version.h"

namespace grademux {

namespace {

std::string listenAddresses(const SenderComponents& components) {
  std::ostringstream addresses;
  const char* separator = "";
  if (components.platform_listener) {
    addresses << "resp:" << components.config.listen;
    separator = " ";
  }
  for (const ListenerConfig& listener : components.daemon_file.listeners) {
    addresses << separator << (listener.kind == ListenerKind::resp ? "resp:" : "http:") << listener.listen;
    separator = " ";
  }
  return addresses.str();
}

}  // namespace

void announceReady(const SenderComponents& components) {
  notifyServiceManager("READY=1");
  log::write(log::Event::daemon_ready, {{"version", programVersion()},
                                        {"listen", listenAddresses(components)},
                                        {"partners", components.partnerCount()}});
}

}  // namespace grademux
