// grademux: messages; see message.h.
#include "message.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace grademux {

std::uint64_t fnv1a(const void* data, std::size_t size, std::uint64_t from) {
  const auto* p = static_cast<const unsigned char*>(data);
  for (std::size_t i = 0; i < size; ++i)
    from = (from ^ p[i]) * 1099511628211ull;
  return from;
}

namespace {
// Hands on all that makes a message's content, piece by piece.
template <class Add>
void eachPiece(const TakenOn& m, const Add& add) {
  const auto number = [&add](std::uint64_t v) {
    unsigned char bytes[8];
    for (int i = 0; i < 8; ++i)
      bytes[i] = static_cast<unsigned char>(v >> (8 * i));
    add(bytes, sizeof bytes);
  };
  for (const std::string* s : {&m.message_class, &m.order_key, &m.idempotency_key, &m.body}) {
    number(s->size());  // so that no two texts can lend each other bytes
    add(s->data(), s->size());
  }
  number(static_cast<std::uint64_t>(m.destination));
}
}  // namespace

std::uint64_t digestOf(const TakenOn& m) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  eachPiece(m, [&state](const void* data, std::size_t size) { XXH3_64bits_update(&state, data, size); });
  return XXH3_64bits_digest(&state);
}

std::uint64_t digestByFnv(const TakenOn& m) {
  std::uint64_t h = fnv1a(nullptr, 0);
  eachPiece(m, [&h](const void* data, std::size_t size) { h = fnv1a(data, size, h); });
  return h;
}

bool usableToken(const std::string& s) {
  for (const char c : s)
    if (c <= ' ' || c > '~')
      return false;
  return s.size() <= kLongestToken;
}

const char* nameOf(Result r) {
  static constexpr const char* kNames[] = {"ok",    "error",     "full",    "timeout", "connect_failed",
                                           "reset", "cancelled", "not_sent"};
  return kNames[static_cast<std::size_t>(r)];
}

const char* nameOf(Ending e) {
  switch (e) {
    case Ending::delivered:
      return "delivered";
    case Ending::handed_back:
      return "handed_back";
    case Ending::given_up:
      return "given_up";
    case Ending::withdrawn:
      return "withdrawn";
  }
  return "unknown";
}

}  // namespace grademux
