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
void eachPiece(const AcceptedMessage& m, const Add& add) {
  const auto number = [&add](std::uint64_t v) {
    unsigned char bytes[8];
    for (int i = 0; i < 8; ++i)
      bytes[i] = static_cast<unsigned char>(v >> (8 * i));
    add(bytes, sizeof bytes);
  };
  for (const std::string* s : {&m.message_class, &m.ordering_key, &m.idempotency_key, &m.body}) {
    number(s->size());  // so that no two texts can lend each other bytes
    add(s->data(), s->size());
  }
  number(static_cast<std::uint64_t>(m.destination));
}
}  // namespace

std::uint64_t contentDigest(const AcceptedMessage& m) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  eachPiece(m, [&state](const void* data, std::size_t size) { XXH3_64bits_update(&state, data, size); });
  return XXH3_64bits_digest(&state);
}

std::uint64_t legacyContentDigest(const AcceptedMessage& m) {
  std::uint64_t h = fnv1a(nullptr, 0);
  eachPiece(m, [&h](const void* data, std::size_t size) { h = fnv1a(data, size, h); });
  return h;
}

bool isValidToken(const std::string& s) {
  for (const char c : s)
    if (c <= ' ' || c > '~')
      return false;
  return s.size() <= kMaxTokenBytes;
}

const char* nameOf(AttemptResult r) {
  static constexpr const char* kNames[] = {"ok",    "error",     "full",    "timeout", "connect_failed",
                                           "reset", "cancelled", "not_sent"};
  return kNames[static_cast<std::size_t>(r)];
}

const char* nameOf(FinalStatus e) {
  switch (e) {
    case FinalStatus::delivered:
      return "delivered";
    case FinalStatus::returned:
      return "handed_back";
    case FinalStatus::failed:
      return "given_up";
    case FinalStatus::withdrawn:
      return "withdrawn";
  }
  return "unknown";
}

}  // namespace grademux
