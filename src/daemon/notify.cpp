// Notification of the service manager; see notify.h.
#include "notify.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

#include "../core/clock.h"

namespace grademux {

void notifyServiceManager(const std::string& state) {
  const char* path = std::getenv("NOTIFY_SOCKET");
  sockaddr_un address{};
  if (!path || (*path != '/' && *path != '@') || std::strlen(path) >= sizeof address.sun_path)
    return;
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path, std::strlen(path));
  if (*path == '@')
    address.sun_path[0] = '\0';  // a socket in the abstract namespace
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + std::strlen(path));
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return;
  (void)!::sendto(fd, state.data(), state.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
                  size);
  ::close(fd);
}

void notifyReloading() {
  notifyServiceManager("RELOADING=1\nMONOTONIC_USEC=" + std::to_string(monotonicNow()));
}

}  // namespace grademux
