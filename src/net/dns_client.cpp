// See dns_client.h.
#include "dns_client.h"

#include <ares.h>
#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <netdb.h>

#include <algorithm>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstring>
#include <map>
#include <stdexcept>

namespace grademux {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kMaxRecords = 256;         // in one response
constexpr std::size_t kMaxTargets = 16;  // in one SRV response
constexpr std::size_t kHeaderSize = 12;  // bytes of a DNS message before its first question

std::string ipText(int family, const void* address) {
  char text[INET6_ADDRSTRLEN] = "";
  ::inet_ntop(family, address, text, sizeof text);
  return text;
}

DnsRecords::Kind kindOf(int status) {
  if (status == ARES_SUCCESS || status == ARES_ENODATA)
    return DnsRecords::Kind::records;
  return status == ARES_ENOTFOUND ? DnsRecords::Kind::no_name : DnsRecords::Kind::failed;
}

DnsRecords emptyRecords(int status) {
  DnsRecords r;
  r.kind = kindOf(status);
  if (r.kind == DnsRecords::Kind::failed)
    r.cause = ares_strerror(status);
  return r;
}

template <class Record, class Parse, class Text>
DnsRecords parseRecords(const unsigned char* bytes, int size, Parse parse, Text text) {
  std::vector<Record> found(kMaxRecords);
  int count = kMaxRecords;
  const int status = parse(bytes, size, nullptr, found.data(), &count);
  DnsRecords r = emptyRecords(status);
  if (status != ARES_SUCCESS)
    return r;
  r.ttl = INT64_MAX;
  for (int i = 0; i < count; ++i) {
    r.addresses.push_back(text(found[static_cast<std::size_t>(i)]));
    r.ttl = std::min<Micros>(r.ttl, std::max(0, found[static_cast<std::size_t>(i)].ttl) * 1'000'000LL);
  }
  if (count == 0)
    r.ttl = 0;
  return r;
}

// The lowest TTL of the answer section, in microseconds: the SRV parser of c-ares does not return TTLs.
Micros minTtl(const unsigned char* bytes, int size) {
  const auto at = [&](const unsigned char* p, std::size_t n) {
    return static_cast<std::size_t>(p - bytes) + n <= static_cast<std::size_t>(size);
  };
  const auto skip_name = [&](const unsigned char*& p) {
    char* name = nullptr;
    long used = 0;
    if (ares_expand_name(p, bytes, size, &name, &used) != ARES_SUCCESS)
      return false;
    ares_free_string(name);
    p += used;
    return true;
  };
  if (size < static_cast<int>(kHeaderSize))
    return 0;
  const auto word = [](const unsigned char* p) { return static_cast<unsigned>(p[0]) << 8 | p[1]; };
  const unsigned questions = word(bytes + 4), answers = word(bytes + 6);
  const unsigned char* p = bytes + kHeaderSize;
  for (unsigned i = 0; i < questions; ++i) {
    if (!skip_name(p) || !at(p, 4))
      return 0;
    p += 4;
  }
  Micros min_ttl = INT64_MAX;
  for (unsigned i = 0; i < answers; ++i) {
    if (!skip_name(p) || !at(p, 10))
      return 0;
    const std::uint32_t ttl = word(p + 4) << 16 | word(p + 6);
    min_ttl = std::min<Micros>(min_ttl, ttl > INT32_MAX ? 0 : ttl * 1'000'000LL);  // RFC 2181, section 8
    const unsigned length = word(p + 8);
    if (!at(p, 10 + length))
      return 0;
    p += 10 + length;
  }
  return min_ttl;
}

}  // namespace

struct DnsClient::Channel {
  // One lookup: an SRV query if there is one, then two queries for each target.
  struct Lookup {
    NameSpec spec;
    Done done;
    DnsAnswer answer;
    std::size_t open = 0;
  };
  struct Query {
    Channel* channel;
    std::shared_ptr<Lookup> lookup;
    std::size_t target;
    int type;
  };

  explicit Channel(asio::io_context& i) : io(i), timer(i) {}

  void sendQuery(const std::shared_ptr<Lookup>& lookup, const std::string& name, std::size_t target,
                 int type) {
    ++lookup->open;
    auto* q = new Query{this, lookup, target, type};
    ares_query(channel, name.c_str(), ns_c_in, type, &Channel::onResponse, q);
    setTimer();
  }

  void queryAddresses(const std::shared_ptr<Lookup>& lookup) {
    ++lookup->open;  // until all queries are sent: c-ares may call back from within ares_query()
    const NameSpec::Family family = lookup->spec.family;
    for (std::size_t i = 0; i < lookup->answer.targets.size(); ++i) {
      DnsTarget& t = lookup->answer.targets[i];
      t.v4.kind = t.v6.kind = DnsRecords::Kind::records;
      const std::string host = t.host;
      if (family != NameSpec::Family::ipv6)
        sendQuery(lookup, host, i, ns_t_a);
      if (family != NameSpec::Family::ipv4)
        sendQuery(lookup, host, i, ns_t_aaaa);
    }
    finishQuery(lookup);
  }

  void finishQuery(const std::shared_ptr<Lookup>& lookup) {
    if (--lookup->open > 0)
      return;
    // Posted rather than called from within c-ares: the callback may start a lookup or destroy this client.
    asio::post(io, [lookup, here = std::weak_ptr<bool>(alive)] {
      if (!here.expired())
        lookup->done(std::move(lookup->answer));
    });
  }

  static void onResponse(void* argument, int status, int, unsigned char* bytes, int size) {
    const std::unique_ptr<Query> q(static_cast<Query*>(argument));
    if (status == ARES_EDESTRUCTION || q->channel->closing)
      return;
    Lookup& lookup = *q->lookup;
    if (q->type == ns_t_srv) {
      q->channel->onSrvResponse(q->lookup, status, bytes, size);
    } else {
      DnsTarget& t = lookup.answer.targets[q->target];
      DnsRecords& r = q->type == ns_t_a ? t.v4 : t.v6;
      if (status != ARES_SUCCESS)
        r = emptyRecords(status);
      else if (q->type == ns_t_a)
        r = parseRecords<ares_addrttl>(bytes, size, ares_parse_a_reply,
                                       [](const ares_addrttl& a) { return ipText(AF_INET, &a.ipaddr); });
      else
        r = parseRecords<ares_addr6ttl>(bytes, size, ares_parse_aaaa_reply,
                                        [](const ares_addr6ttl& a) { return ipText(AF_INET6, &a.ip6addr); });
    }
    q->channel->finishQuery(q->lookup);
  }

  void onSrvResponse(const std::shared_ptr<Lookup>& lookup, int status, const unsigned char* bytes,
                     int size) {
    ares_srv_reply* found = nullptr;
    if (status == ARES_SUCCESS)
      status = ares_parse_srv_reply(bytes, size, &found);
    const DnsRecords r = emptyRecords(status);
    lookup->answer.kind = r.kind;
    lookup->answer.cause = r.cause;
    if (status != ARES_SUCCESS)
      return;
    lookup->answer.ttl = minTtl(bytes, size);
    for (const ares_srv_reply* s = found; s && lookup->answer.targets.size() < kMaxTargets; s = s->next) {
      if (!*s->host || !std::strcmp(s->host, "."))
        continue;  // target ".": the service is not available (RFC 2782)
      DnsTarget t;
      t.host = s->host;
      t.port = s->port;
      t.priority = s->priority;
      if (t.port != 0)
        lookup->answer.targets.push_back(std::move(t));
    }
    ares_free_data(found);
    queryAddresses(lookup);
  }

  // ---- sockets and timeouts of c-ares on the event loop

  struct Socket {
    explicit Socket(asio::io_context& io, ares_socket_t fd) : descriptor(io, fd) {}
    asio::posix::stream_descriptor descriptor;
    bool wants_read = false, wants_write = false, reading = false, writing = false, open = true;
  };

  static void onSocketState(void* argument, ares_socket_t fd, int wants_read, int wants_write) {
    Channel& c = *static_cast<Channel*>(argument);
    auto& s = c.sockets[fd];
    if (!wants_read && !wants_write) {  // c-ares closes the socket next
      if (s) {
        s->open = false;
        s->descriptor.release();  // cancels its waits
      }
      c.sockets.erase(fd);
      return;
    }
    if (!s)
      s = std::make_shared<Socket>(c.io, fd);
    s->wants_read = wants_read != 0;
    s->wants_write = wants_write != 0;
    c.waitForSocket(fd, s);
  }

  void waitForSocket(ares_socket_t fd, const std::shared_ptr<Socket>& s) {
    const auto wait = [&](bool is_wanted, bool Socket::*is_waiting,
                          asio::posix::stream_descriptor::wait_type type) {
      if (!is_wanted || (*s).*is_waiting)
        return;
      (*s).*is_waiting = true;
      s->descriptor.async_wait(type, [this, fd, s, is_waiting, type](error_code e) {
        (*s).*is_waiting = false;
        if (e || !s->open)
          return;
        const bool read = type == asio::posix::stream_descriptor::wait_read;
        ares_process_fd(channel, read ? fd : ARES_SOCKET_BAD, read ? ARES_SOCKET_BAD : fd);
        if (s->open)
          waitForSocket(fd, s);
        setTimer();
      });
    };
    wait(s->wants_read, &Socket::reading, asio::posix::stream_descriptor::wait_read);
    wait(s->wants_write, &Socket::writing, asio::posix::stream_descriptor::wait_write);
  }

  void setTimer() {
    timeval next{};
    if (!ares_timeout(channel, nullptr, &next)) {  // no query is pending
      timer.cancel();
      return;
    }
    timer.expires_after(std::chrono::seconds(next.tv_sec) + std::chrono::microseconds(next.tv_usec));
    timer.async_wait([this](error_code e) {
      if (e)
        return;
      ares_process_fd(channel, ARES_SOCKET_BAD, ARES_SOCKET_BAD);
      setTimer();
    });
  }

  asio::io_context& io;
  asio::steady_timer timer;
  ares_channel channel = nullptr;
  std::map<ares_socket_t, std::shared_ptr<Socket>> sockets;
  bool closing = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

DnsClient::DnsClient(asio::io_context& io, const DnsServers& servers)
    : channel_(std::make_unique<Channel>(io)) {
  static const int init_status = ares_library_init(ARES_LIB_INIT_ALL);
  if (init_status != ARES_SUCCESS)
    throw std::runtime_error(std::string("c-ares: ") + ares_strerror(init_status));
  ares_options o{};
  o.timeout = static_cast<int>(std::max<Micros>(1, servers.timeout / 1000));
  o.tries = servers.tries;
  o.flags = ARES_FLAG_NOSEARCH | ARES_FLAG_NOALIASES;
  o.sock_state_cb = &Channel::onSocketState;
  o.sock_state_cb_data = channel_.get();
  int status = ares_init_options(
      &channel_->channel, &o, ARES_OPT_TIMEOUTMS | ARES_OPT_TRIES | ARES_OPT_FLAGS | ARES_OPT_SOCK_STATE_CB);
  if (status == ARES_SUCCESS && !servers.servers.empty()) {
    std::string list;
    for (const std::string& s : servers.servers)
      list += (list.empty() ? "" : ",") + s;
    status = ares_set_servers_ports_csv(channel_->channel, list.c_str());
  }
  if (status != ARES_SUCCESS) {
    if (channel_->channel)
      ares_destroy(channel_->channel);
    throw std::runtime_error(std::string("can't initialize the DNS client: ") + ares_strerror(status));
  }
}

DnsClient::~DnsClient() {
  channel_->closing = true;
  ares_destroy(channel_->channel);
}

void DnsClient::resolve(const NameSpec& spec, Done done) {
  auto lookup = std::make_shared<Channel::Lookup>();
  lookup->spec = spec;
  lookup->done = std::move(done);
  if (!spec.srv.empty())
    return channel_->sendQuery(lookup, spec.srv, 0, ns_t_srv);
  DnsTarget t;
  t.host = spec.host;
  t.port = spec.port;
  lookup->answer.targets.push_back(std::move(t));
  channel_->queryAddresses(lookup);
}

}  // namespace grademux
