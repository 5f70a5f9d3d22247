// A Sender whose decide() always throws, linked with the simulator adapter to test how the adapter reports
// exceptions.
#include <stdexcept>

#include "grademux/sender.h"

namespace grademux {

struct Sender::Impl {};
Sender::Sender(Settings, std::uint64_t) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;
std::vector<Action> Sender::decide(Micros, const std::vector<Event>&) {
  throw std::out_of_range("tag without a message");
}

}  // namespace grademux
