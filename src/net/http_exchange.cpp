// See http_exchange.h.
#include "http_exchange.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

namespace grademux {

namespace http = boost::beast::http;
using boost::system::error_code;

const char* nameOf(ExchangeResult result) {
  switch (result) {
    case ExchangeResult::answered:
      return "answered";
    case ExchangeResult::not_written:
      return "not_written";
    case ExchangeResult::broken:
      return "broken";
    case ExchangeResult::timed_out:
      return "timed_out";
  }
  return "";
}

const std::string* HttpAnswer::field(const std::string& name) const {
  for (const auto& [known, value] : fields)
    if (known == name)
      return &value;
  return nullptr;
}

std::string serializeRequest(HttpRequest request, const std::string& host) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, host);
  for (const auto& [name, value] : request.fields)
    message.set(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  std::string bytes;
  http::request_serializer<http::string_body> serializer(message);
  while (!serializer.is_done()) {
    error_code error;
    serializer.next(error, [&](error_code&, const auto& buffers) {
      bytes += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::beast::buffer_bytes(buffers));
    });
    if (error)
      break;
  }
  return bytes;
}

}  // namespace grademux
