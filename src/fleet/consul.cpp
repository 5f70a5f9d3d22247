// grademux fleet: the store by Consul's HTTP interface; see consul.h.
#include "consul.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <charconv>
#include <ctime>

#include "../core/json_fields.h"
#include "../net/address.h"

namespace grademux::fleet {

namespace {

constexpr Micros kConnect = 1'000'000;
constexpr std::size_t kBody = 16u << 20;  // bytes: reports of some 20,000 senders

// RFC 4648, section 4. Throws what the library throws for other characters.
std::string decoded(std::string text) {
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

std::string encoded(const std::string& path) {  // RFC 3986, section 2.1; a slash stays
  static const char* kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : path) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
    if (plain) {
      out.push_back(c);
      continue;
    }
    const auto b = static_cast<unsigned char>(c);
    out += {'%', kHex[b >> 4], kHex[b & 15]};
  }
  return out;
}

Micros dateOf(const HttpAnswer& a) {  // RFC 9110, section 5.6.7
  const std::string* told = a.field("date");
  std::tm t{};
  if (!told || !::strptime(told->c_str(), "%a, %d %b %Y %H:%M:%S GMT", &t))
    return 0;
  return static_cast<Micros>(::timegm(&t)) * 1'000'000;
}

std::int64_t indexOf(const HttpAnswer& a) {
  const std::string* told = a.field("x-consul-index");
  std::int64_t n = 0;
  if (told)
    std::from_chars(told->data(), told->data() + told->size(), n);
  return std::max<std::int64_t>(0, n);
}

void readEntries(const HttpAnswer& a, StoreResult& to) {
  to.index = indexOf(a);
  if (a.status == 404)
    return;
  const json all = json::parse(a.body);
  if (!all.is_array())
    bad("a list of entries is expected");
  for (const json& e : all) {
    StoreEntry entry;
    entry.key = text(e, "Key");
    entry.value = absent(e, "Value") ? "" : decoded(text(e, "Value"));
    entry.session = text(e, "Session", "");
    entry.modify_index = integer(e, "ModifyIndex");
    to.entries.push_back(std::move(entry));
  }
}

void readTruth(const HttpAnswer& a, StoreResult& to) {
  to.applied = a.status == 200 && a.body.compare(0, 4, "true") == 0;
}

}  // namespace

Consul::Consul(boost::asio::io_context& io, std::vector<std::string> addresses, Micros limit)
    : io_(io), addresses_(std::move(addresses)), limit_(limit) {
  if (addresses_.empty())
    throw std::invalid_argument("an address of the store is expected");
  for (const std::string& a : addresses_)
    parseAddress(a);
}

void Consul::ask(Line& line, const std::string& method, const std::string& target, const std::string& body,
                 Micros limit, Read read, Callback done) {
  Call call;
  call.request.method = method;
  call.request.target = target;
  call.request.body = body;
  call.limit = limit;
  call.read = std::move(read);
  call.done = std::move(done);
  line.calls.push_back(std::move(call));
  next(line);
}

void Consul::next(Line& line) {
  if (line.busy || line.calls.empty())
    return;
  line.busy = true;
  Call call = std::move(line.calls.front());
  line.calls.pop_front();
  const std::string& address = addresses_[line.at % addresses_.size()];
  if (!line.connection || !line.connection->reusable())
    line.connection = std::make_unique<HttpConnection>(io_, parseAddress(address), address, kBody);
  const Micros connect = std::min(kConnect, limit_);
  line.connection->exchange(
      std::move(call.request), connect, call.limit,
      [this, &line, read = std::move(call.read), done = std::move(call.done), address](const HttpAnswer& a) {
        StoreResult to;
        to.store_time = dateOf(a);
        const bool sound = a.how == Exchanged::answered && a.whole && (a.status == 200 || a.status == 404);
        if (sound) {
          try {
            read(a, to);
            to.ok = true;
          } catch (const std::exception& e) {
            to.error = address + ": " + e.what();
          }
        } else {
          to.error = address + (a.how == Exchanged::answered
                                    ? " answers " + std::to_string(a.status) + " " + a.body.substr(0, 120)
                                    : " does not answer");
        }
        if (!to.ok) {
          ++line.at;
          line.connection.reset();
        }
        line.busy = false;
        done(to);
        next(line);
      });
}

void Consul::read(const std::string& key, std::int64_t after, Micros wait, Callback done) {
  std::string target = "/v1/kv/" + encoded(key) + "?consistent";
  const bool held = after > 0;
  if (held)
    target += "&index=" + std::to_string(after) + "&wait=" + std::to_string(wait / 1000) + "ms";
  // A held answer is late by up to a sixteenth of its wait, by the specification.
  ask(held_, "GET", target, "", limit_ + (held ? wait + wait / 16 : 0), readEntries, std::move(done));
}

void Consul::listPrefix(const std::string& prefix, Callback done) {
  ask(quick_, "GET", "/v1/kv/" + encoded(prefix) + "?consistent&recurse", "", limit_, readEntries,
      std::move(done));
}

void Consul::compareAndSwap(const std::string& key, const std::string& value, std::int64_t changed,
                            Callback done) {
  ask(quick_, "PUT", "/v1/kv/" + encoded(key) + "?cas=" + std::to_string(changed), value, limit_, readTruth,
      std::move(done));
}

void Consul::openSession(const std::string& name, Micros ttl, Callback done) {
  // What a session held stays to be read: who was there, and as what.
  const json o = {{"Name", name},
                  {"TTL", std::to_string(ttl / 1'000'000) + "s"},
                  {"Behavior", "release"},
                  {"LockDelay", "0s"}};
  ask(
      quick_, "PUT", "/v1/session/create", o.dump(), limit_,
      [](const HttpAnswer& a, StoreResult& to) {
        if (a.status != 200)
          bad("no session is given");
        to.session = text(json::parse(a.body), "ID");
        to.applied = true;
      },
      std::move(done));
}

void Consul::renewSession(const std::string& session, Callback done) {
  ask(
      quick_, "PUT", "/v1/session/renew/" + encoded(session), "", limit_,
      [](const HttpAnswer& a, StoreResult& to) { to.applied = a.status == 200; }, std::move(done));
}

void Consul::destroySession(const std::string& session, Callback done) {
  ask(quick_, "PUT", "/v1/session/destroy/" + encoded(session), "", limit_, readTruth, std::move(done));
}

void Consul::acquireKey(const std::string& key, const std::string& value, const std::string& session,
                        Callback done) {
  ask(quick_, "PUT", "/v1/kv/" + encoded(key) + "?acquire=" + encoded(session), value, limit_, readTruth,
      std::move(done));
}

}  // namespace grademux::fleet
