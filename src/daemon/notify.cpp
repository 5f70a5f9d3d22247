// grademux: the service manager; see notify.h.
#include "notify.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

#include "../core/clock.h"

namespace grademux {

void notifyManager(const std::string& state) {
  const char* path = std::getenv("NOTIFY_SOCKET");
  sockaddr_un to{};
  if (!path || (*path != '/' && *path != '@') || std::strlen(path) >= sizeof to.sun_path)
    return;
  to.sun_family = AF_UNIX;
  std::memcpy(to.sun_path, path, std::strlen(path));
  if (*path == '@')
    to.sun_path[0] = '\0';  // an abstract one
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + std::strlen(path));
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return;
  (void)!::sendto(fd, state.data(), state.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&to), size);
  ::close(fd);
}

void notifyReloading() {
  notifyManager("RELOADING=1\nMONOTONIC_USEC=" + std::to_string(monotonicNow()));
}

}  // namespace grademux
