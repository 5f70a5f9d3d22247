// Digests and statuses of the latest responses of one HTTP connection. A response that repeats one of them
// may be a second copy, which the peer wrote late. No I/O.
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
  // Adds a complete response; the oldest of more than kMaxResponses is forgotten.
  void add(std::uint64_t digest, unsigned status);
  bool contains(std::uint64_t digest) const;
  // Whether a part of a response with this status can be the beginning of a copy.
  bool containsStatus(unsigned status) const;
  void clear() { responses_.clear(); }

 private:
  static constexpr std::size_t kMaxResponses = 8;

  struct Response {
    std::uint64_t digest = 0;
    unsigned status = 0;
  };

  std::deque<Response> responses_;
};

}  // namespace grademux
