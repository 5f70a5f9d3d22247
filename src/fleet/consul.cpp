#include "consul.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <charconv>
#include <ctime>

#include "../core/json_fields.h"
#include "../net/address.h"

namespace grademux::fleet {

namespace {

constexpr Micros kConnectTimeout = 1'000'000;
// An answer that has begun may take so many timeouts more, while each piece comes within one. With the
// default timeout a held-back read ends before a lease of 10 s.
constexpr int kSlowAnswerTimeouts = 2;
constexpr std::size_t kMaxAnswerBytes = 16u << 20;  // reports of about 20,000 senders

// RFC 4648, section 4. Throws for characters outside the alphabet.
std::string decodeBase64(std::string text) {
  using namespace boost::archive::iterators;
  using Bytes = transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  const std::size_t size = text.size() * 3 / 4;
  std::string out;
  Bytes at{text.cbegin()};
  for (std::size_t i = 0; i < size; ++i, ++at)
    out.push_back(*at);
  return out;
}

// RFC 3986, section 2.3.
bool isUnreserved(char character) {
  const bool is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool is_digit = character >= '0' && character <= '9';
  return is_letter || is_digit || character == '-' || character == '.' || character == '_' ||
         character == '~';
}

// RFC 3986, section 2.1; slashes are not encoded.
std::string percentEncode(const std::string& path) {
  constexpr const char* kHex = "0123456789ABCDEF";
  std::string out;
  for (const char character : path) {
    const bool plain = isUnreserved(character) || character == '/';
    if (plain) {
      out.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    out += {'%', kHex[byte >> 4], kHex[byte & 15]};
  }
  return out;
}

Micros dateOf(const HttpAnswer& answer) {  // RFC 9110, section 5.6.7
  const std::string* header = answer.field("date");
  std::tm time{};
  if (!header || !::strptime(header->c_str(), "%a, %d %b %Y %H:%M:%S GMT", &time))
    return 0;
  return static_cast<Micros>(::timegm(&time)) * 1'000'000;
}

std::int64_t indexOf(const HttpAnswer& answer) {
  const std::string* header = answer.field("x-consul-index");
  std::int64_t index = 0;
  if (header)
    std::from_chars(header->data(), header->data() + header->size(), index);
  return std::max<std::int64_t>(0, index);
}

void readEntries(const HttpAnswer& answer, StoreReply& reply) {
  reply.index = indexOf(answer);
  if (answer.status == 404)
    return;
  const json all = json::parse(answer.body);
  if (!all.is_array())
    bad("a list of entries is expected");
  for (const json& item : all) {
    StoreEntry entry;
    entry.key = text(item, "Key");
    entry.value = absent(item, "Value") ? "" : decodeBase64(text(item, "Value"));
    entry.session = text(item, "Session", "");
    entry.modify_index = integer(item, "ModifyIndex");
    reply.entries.push_back(std::move(entry));
  }
}

void readApplied(const HttpAnswer& answer, StoreReply& reply) {
  reply.applied = answer.status == 200 && answer.body.compare(0, 4, "true") == 0;
}

std::string describeFailure(const HttpAnswer& answer, const std::string& address) {
  if (answer.how != ExchangeResult::answered || !answer.complete)
    return address + " does not answer (" + nameOf(answer.how) + " after " +
           std::to_string(answer.progress.bytes_received) + " bytes)";
  constexpr std::size_t kShownBytes = 120;
  return address + " answers " + std::to_string(answer.status) + " " + answer.body.substr(0, kShownBytes);
}

}  // namespace

Consul::Consul(boost::asio::io_context& io, std::vector<std::string> addresses, Micros timeout)
    : io_(io), addresses_(std::move(addresses)), timeout_(timeout) {
  if (addresses_.empty())
    throw std::invalid_argument("an address of the store is expected");
  for (const std::string& address : addresses_)
    parseAddress(address);
}

void Consul::enqueue(Channel& channel, const std::string& method, const std::string& target,
                     const std::string& body, Micros timeout, ReadAnswer read_answer, Callback done) {
  Call call;
  call.request.method = method;
  call.request.target = target;
  call.request.body = body;
  call.timeout = timeout;
  call.read_answer = std::move(read_answer);
  call.done = std::move(done);
  channel.queue.push_back(std::move(call));
  startNext(channel);
}

void Consul::startNext(Channel& channel) {
  if (channel.busy || channel.queue.empty())
    return;
  channel.busy = true;
  Call call = std::move(channel.queue.front());
  channel.queue.pop_front();
  const std::string& address = addresses_[channel.address_index % addresses_.size()];
  // On a new connection no late copy of an earlier response can arrive: it could tell that a write was
  // applied.
  channel.connection = std::make_unique<HttpConnection>(io_, parseAddress(address), address, kMaxAnswerBytes);
  const Micros connect_timeout = std::min(kConnectTimeout, timeout_);
  call.request.begin_within = call.timeout;
  call.request.stall_limit = timeout_;
  const Micros limit = call.timeout + kSlowAnswerTimeouts * timeout_;
  channel.connection->exchange(std::move(call.request), connect_timeout, limit,
                               [this, &channel, read_answer = std::move(call.read_answer),
                                done = std::move(call.done), address](const HttpAnswer& answer) {
                                 const StoreResult result = readResult(answer, read_answer, address);
                                 if (!result.has_value()) {
                                   ++channel.address_index;
                                   channel.connection.reset();
                                 }
                                 channel.busy = false;
                                 done(result);
                                 startNext(channel);
                               });
}

StoreResult Consul::readResult(const HttpAnswer& answer, const ReadAnswer& read_answer,
                               const std::string& address) {
  if (answer.how != ExchangeResult::answered || !answer.complete)
    return StoreError{describeFailure(answer, address)};
  if (answer.status != 200 && answer.status != 404)
    return StoreError{describeFailure(answer, address)};
  StoreReply reply;
  reply.store_time = dateOf(answer);
  try {
    read_answer(answer, reply);
  } catch (const std::exception& error) {
    return StoreError{address + ": " + error.what()};
  }
  return reply;
}

void Consul::read(const std::string& key, std::int64_t index, Micros wait, Callback done) {
  std::string target = "/v1/kv/" + percentEncode(key) + "?consistent";
  const bool blocking = index > 0;
  if (blocking)
    target += "&index=" + std::to_string(index) + "&wait=" + std::to_string(wait / 1000) + "ms";
  // The store may exceed the wait by a sixteenth (Consul, "Blocking Queries").
  enqueue(blocking_reads_, "GET", target, "", timeout_ + (blocking ? wait + wait / 16 : 0), readEntries,
          std::move(done));
}

void Consul::listPrefix(const std::string& prefix, Callback done) {
  enqueue(other_requests_, "GET", "/v1/kv/" + percentEncode(prefix) + "?consistent&recurse", "", timeout_,
          readEntries, std::move(done));
}

void Consul::compareAndSwap(const std::string& key, const std::string& value, std::int64_t modify_index,
                            Callback done) {
  enqueue(other_requests_, "PUT", "/v1/kv/" + percentEncode(key) + "?cas=" + std::to_string(modify_index),
          value, timeout_, readApplied, std::move(done));
}

void Consul::openSession(const std::string& name, Micros ttl, Callback done) {
  // Reports remain readable after their session has ended.
  const json request = {{"Name", name},
                        {"TTL", std::to_string(ttl / 1'000'000) + "s"},
                        {"Behavior", "release"},
                        {"LockDelay", "0s"}};
  enqueue(
      other_requests_, "PUT", "/v1/session/create", request.dump(), timeout_,
      [](const HttpAnswer& answer, StoreReply& reply) {
        if (answer.status != 200)
          bad("the store opened no session");
        reply.session = text(json::parse(answer.body), "ID");
        reply.applied = true;
      },
      std::move(done));
}

void Consul::renewSession(const std::string& session, Callback done) {
  enqueue(
      other_requests_, "PUT", "/v1/session/renew/" + percentEncode(session), "", timeout_,
      [](const HttpAnswer& answer, StoreReply& reply) { reply.applied = answer.status == 200; },
      std::move(done));
}

void Consul::destroySession(const std::string& session, Callback done) {
  enqueue(other_requests_, "PUT", "/v1/session/destroy/" + percentEncode(session), "", timeout_, readApplied,
          std::move(done));
}

void Consul::acquireKey(const std::string& key, const std::string& value, const std::string& session,
                        Callback done) {
  enqueue(other_requests_, "PUT", "/v1/kv/" + percentEncode(key) + "?acquire=" + percentEncode(session),
          value, timeout_, readApplied, std::move(done));
}

}  // namespace grademux::fleet
