// Digests of the latest responses of one HTTP connection. A response that repeats one of them may be a second
// copy, which the peer wrote late. No I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace grademux {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// A digest of status, fields and body. `dropped_body_digest`: of the part of the body that `response` lacks.
std::uint64_t responseDigest(const HttpResponse& response, std::uint64_t dropped_body_digest = 0);

class ResponseHistory {
 public:
  // Adds the digest of a complete response; the oldest of more than kMaxResponses is forgotten.
  void add(std::uint64_t digest);
  bool contains(std::uint64_t digest) const;
  void clear() { digests_.clear(); }

 private:
  static constexpr std::size_t kMaxResponses = 8;

  std::deque<std::uint64_t> digests_;
};

}  // namespace grademux
