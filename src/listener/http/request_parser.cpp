// See request_parser.h.
#include "request_parser.h"

#include <boost/asio/buffer.hpp>
#include <iterator>

namespace grademux::http_listener {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr std::size_t kParserBytes = 1024;  // memory of a parser without the fields
constexpr std::size_t kMaxFields = 256;     // in a header
// Memory of one field beside its name and value: the node, and what the allocator adds.
constexpr std::size_t kFieldBytes = sizeof(RequestParser::Head::value_type) + 2 * sizeof(void*);

std::string toLower(boost::beast::string_view text) {
  std::string lower(text.data(), text.size());
  for (char& letter : lower)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter - 'A' + 'a');
  return lower;
}

}  // namespace

void RequestParser::start() {
  parser_.emplace();
  parser_->eager(false);
  parser_->header_limit(kMaxHeaderBytes);
  // The session applies its own limits to bodies. Boost 1.74 treats a limit of 0 as "no body allowed".
  parser_->body_limit(UINT64_MAX / 2);
  head_complete_ = false;
  head_bytes_ = kParserBytes;
}

RequestParser::Step RequestParser::parse(std::string_view input) {
  Step step;
  if (head_complete_) {
    parser_->get().body().data = body_buffer_.data();
    parser_->get().body().size = body_buffer_.size();
    parser_->get().body().more = true;
  }
  error_code error;
  step.consumed = parser_->put(boost::asio::buffer(input.data(), input.size()), error);
  if (error == http::error::header_limit) {
    step.problem = Problem{431, "header-too-long", "a header may have 16384 bytes"};
    return step;
  }
  if (error && error != http::error::need_more && error != http::error::need_buffer) {
    step.problem = Problem{400, "malformed-request", error.message()};
    return step;
  }
  if (step.consumed == 0 && input.size() > kMaxHeaderBytes) {
    step.problem = Problem{431, "header-too-long", "a header, or the frame of a chunk, may have 16384 bytes"};
    return step;
  }
  if (!head_complete_)
    head_bytes_ += step.consumed;
  if (head_complete_)
    step.body = {body_buffer_.data(), body_buffer_.size() - parser_->get().body().size};
  else
    step.head_complete = head_complete_ = parser_->is_header_done();
  step.complete = parser_->is_done();
  if (step.head_complete)
    step.problem = countFields();
  return step;
}

// Adds the memory of the fields, which may be many times that of their bytes.
std::optional<Problem> RequestParser::countFields() {
  const auto count = static_cast<std::size_t>(std::distance(head().begin(), head().end()));
  head_bytes_ += count * kFieldBytes;
  if (count <= kMaxFields)
    return std::nullopt;
  return Problem{431, "too-many-fields", "a header may have " + std::to_string(kMaxFields) + " fields"};
}

std::optional<Problem> RequestParser::checkHead() const {
  const Head& request = head();
  if (request.version() != 11 && request.version() != 10)
    return Problem{505, "malformed-request", "HTTP/1.1 is expected"};
  const bool has_transfer_coding = request.count(http::field::transfer_encoding) > 0;
  // RFC 9112, section 6.3: another recipient could read the body of such a request as a second request.
  const std::size_t lengths =
      request.count(http::field::content_length) + request.count(http::field::transfer_encoding);
  if (lengths > 1 || (has_transfer_coding && request.version() == 10))
    return Problem{400, "malformed-request", "more than one length of the body is told"};
  if (has_transfer_coding && toLower(request[http::field::transfer_encoding]) != "chunked")
    return Problem{501, "unsupported-encoding", "chunked is known"};
  if (request.version() == 11 && request.count(http::field::host) != 1)
    return Problem{400, "malformed-request", "one field Host is expected"};
  return std::nullopt;
}

Fields RequestParser::fields() const {
  Fields fields;
  for (const auto& field : head())
    fields.emplace_back(toLower(field.name_string()),
                        std::string(field.value().data(), field.value().size()));
  return fields;
}

std::string_view RequestParser::target() const {
  return {head().target().data(), head().target().size()};
}

bool RequestParser::expectsContinue() const {
  return toLower(head()[http::field::expect]) == "100-continue" && !parser_->is_done();
}

std::uint64_t RequestParser::contentLength() const {
  return parser_->content_length() ? *parser_->content_length() : 0;
}

}  // namespace grademux::http_listener
