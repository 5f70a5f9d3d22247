// See response_history.h.
#include "response_history.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace grademux {

namespace {

// Continues a digest with the next part.
std::uint64_t extendDigest(std::uint64_t digest, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), digest);
}

std::string_view viewOf(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::uint64_t responseDigest(const HttpResponse& response, std::uint64_t dropped_body_digest) {
  std::uint64_t digest = response.result_int() + dropped_body_digest;
  for (const auto& field : response) {
    digest = extendDigest(digest, viewOf(field.name_string()));
    digest = extendDigest(digest, viewOf(field.value()));
  }
  return extendDigest(digest, response.body());
}

void ResponseHistory::add(std::uint64_t digest, unsigned status) {
  responses_.push_back({digest, status});
  if (responses_.size() > kMaxResponses)
    responses_.pop_front();
}

bool ResponseHistory::contains(std::uint64_t digest) const {
  return std::any_of(responses_.begin(), responses_.end(),
                     [digest](const Response& response) { return response.digest == digest; });
}

bool ResponseHistory::containsStatus(unsigned status) const {
  return std::any_of(responses_.begin(), responses_.end(),
                     [status](const Response& response) { return response.status == status; });
}

}  // namespace grademux
