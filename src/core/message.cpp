#include "message.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace grademux {

namespace {

constexpr std::uint64_t kFnvPrime = 1099511628211ull;

}  // namespace

std::uint64_t fnv1a(const void* data, std::size_t size, std::uint64_t hash) {
  const auto* bytes = static_cast<const unsigned char*>(data);
  for (std::size_t i = 0; i < size; ++i)
    hash = (hash ^ bytes[i]) * kFnvPrime;
  return hash;
}

namespace {

// Calls `add` with the parts of the message's content in a fixed order. Each text is preceded by its size, so
// that different messages never give the same sequence of bytes.
template <class Add>
void forEachPart(const AcceptedMessage& message, const Add& add) {
  const auto number = [&add](std::uint64_t value) {
    unsigned char bytes[8];
    for (int i = 0; i < 8; ++i)
      bytes[i] = static_cast<unsigned char>(value >> (8 * i));
    add(bytes, sizeof bytes);
  };
  for (const std::string* text :
       {&message.message_class, &message.ordering_key, &message.idempotency_key, &message.body}) {
    number(text->size());
    add(text->data(), text->size());
  }
  number(static_cast<std::uint64_t>(message.destination));
}

}  // namespace

std::uint64_t contentDigest(const AcceptedMessage& message) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  forEachPart(message,
              [&state](const void* data, std::size_t size) { XXH3_64bits_update(&state, data, size); });
  return XXH3_64bits_digest(&state);
}

std::uint64_t legacyContentDigest(const AcceptedMessage& message) {
  std::uint64_t digest = fnv1a(nullptr, 0);
  forEachPart(message, [&digest](const void* data, std::size_t size) { digest = fnv1a(data, size, digest); });
  return digest;
}

bool isValidToken(const std::string& token) {
  for (const char character : token)
    if (character <= ' ' || character > '~')
      return false;
  return token.size() <= kMaxTokenBytes;
}

const char* nameOf(AttemptResult result) {
  static constexpr const char* kNames[] = {"ok",    "error",     "full",    "timeout", "connect_failed",
                                           "reset", "cancelled", "not_sent"};
  return kNames[static_cast<std::size_t>(result)];
}

const char* nameOf(FinalStatus status) {
  switch (status) {
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
