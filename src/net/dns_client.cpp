// grademux: name servers; see dns_client.h.
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

constexpr int kMostRecords = 256;         // of one answer
constexpr std::size_t kMostTargets = 16;  // of one SRV answer
constexpr std::size_t kHeader = 12;       // bytes of a DNS message before its first question

std::string textOf(int family, const void* address) {
  char text[INET6_ADDRSTRLEN] = "";
  ::inet_ntop(family, address, text, sizeof text);
  return text;
}

DnsRecords::Kind kindOf(int status) {
  if (status == ARES_SUCCESS || status == ARES_ENODATA)
    return DnsRecords::Kind::records;
  return status == ARES_ENOTFOUND ? DnsRecords::Kind::no_name : DnsRecords::Kind::failed;
}

DnsRecords unusable(int status) {
  DnsRecords r;
  r.kind = kindOf(status);
  if (r.kind == DnsRecords::Kind::failed)
    r.cause = ares_strerror(status);
  return r;
}

template <class Record, class Parse, class Text>
DnsRecords recordsOf(const unsigned char* bytes, int size, Parse parse, Text text) {
  std::vector<Record> found(kMostRecords);
  int count = kMostRecords;
  const int status = parse(bytes, size, nullptr, found.data(), &count);
  DnsRecords r = unusable(status);
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

// The least TTL of the answer section: c-ares' reader of SRV records leaves it out.
Micros leastTtl(const unsigned char* bytes, int size) {
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
  if (size < static_cast<int>(kHeader))
    return 0;
  const auto word = [](const unsigned char* p) { return static_cast<unsigned>(p[0]) << 8 | p[1]; };
  const unsigned questions = word(bytes + 4), answers = word(bytes + 6);
  const unsigned char* p = bytes + kHeader;
  for (unsigned i = 0; i < questions; ++i) {
    if (!skip_name(p) || !at(p, 4))
      return 0;
    p += 4;
  }
  Micros least = INT64_MAX;
  for (unsigned i = 0; i < answers; ++i) {
    if (!skip_name(p) || !at(p, 10))
      return 0;
    const std::uint32_t ttl = word(p + 4) << 16 | word(p + 6);
    least = std::min<Micros>(least, ttl > INT32_MAX ? 0 : ttl * 1'000'000LL);  // RFC 2181, 8
    const unsigned length = word(p + 8);
    if (!at(p, 10 + length))
      return 0;
    p += 10 + length;
  }
  return least;
}

}  // namespace

struct DnsClient::Channel {
  // One look: an SRV query if there is one, then two queries for each target.
  struct Look {
    NameSpec spec;
    Done done;
    DnsAnswer answer;
    std::size_t open = 0;
  };
  struct Query {
    Channel* channel;
    std::shared_ptr<Look> look;
    std::size_t target;
    int type;
  };

  explicit Channel(asio::io_context& i) : io(i), timer(i) {}

  void ask(const std::shared_ptr<Look>& look, const std::string& name, std::size_t target, int type) {
    ++look->open;
    auto* q = new Query{this, look, target, type};
    ares_query(channel, name.c_str(), ns_c_in, type, &Channel::answered, q);
    arm();
  }

  void askAddresses(const std::shared_ptr<Look>& look) {
    ++look->open;  // until all are asked: an answer may come from within the call
    const NameSpec::Family family = look->spec.family;
    for (std::size_t i = 0; i < look->answer.targets.size(); ++i) {
      DnsTarget& t = look->answer.targets[i];
      t.v4.kind = t.v6.kind = DnsRecords::Kind::records;
      const std::string host = t.host;
      if (family != NameSpec::Family::ipv6)
        ask(look, host, i, ns_t_a);
      if (family != NameSpec::Family::ipv4)
        ask(look, host, i, ns_t_aaaa);
    }
    over(look);
  }

  void over(const std::shared_ptr<Look>& look) {
    if (--look->open > 0)
      return;
    // Not from within c-ares: what hears it may ask the next, or end this client.
    asio::post(io, [look, here = std::weak_ptr<bool>(alive)] {
      if (!here.expired())
        look->done(std::move(look->answer));
    });
  }

  static void answered(void* argument, int status, int, unsigned char* bytes, int size) {
    const std::unique_ptr<Query> q(static_cast<Query*>(argument));
    if (status == ARES_EDESTRUCTION || q->channel->ending)
      return;
    Look& look = *q->look;
    if (q->type == ns_t_srv) {
      q->channel->readServices(q->look, status, bytes, size);
    } else {
      DnsTarget& t = look.answer.targets[q->target];
      DnsRecords& r = q->type == ns_t_a ? t.v4 : t.v6;
      if (status != ARES_SUCCESS)
        r = unusable(status);
      else if (q->type == ns_t_a)
        r = recordsOf<ares_addrttl>(bytes, size, ares_parse_a_reply,
                                    [](const ares_addrttl& a) { return textOf(AF_INET, &a.ipaddr); });
      else
        r = recordsOf<ares_addr6ttl>(bytes, size, ares_parse_aaaa_reply,
                                     [](const ares_addr6ttl& a) { return textOf(AF_INET6, &a.ip6addr); });
    }
    q->channel->over(q->look);
  }

  void readServices(const std::shared_ptr<Look>& look, int status, const unsigned char* bytes, int size) {
    ares_srv_reply* found = nullptr;
    if (status == ARES_SUCCESS)
      status = ares_parse_srv_reply(bytes, size, &found);
    const DnsRecords r = unusable(status);
    look->answer.kind = r.kind;
    look->answer.cause = r.cause;
    if (status != ARES_SUCCESS)
      return;
    look->answer.ttl = leastTtl(bytes, size);
    for (const ares_srv_reply* s = found; s && look->answer.targets.size() < kMostTargets; s = s->next) {
      if (!*s->host || !std::strcmp(s->host, "."))
        continue;  // the service is not to be had (RFC 2782)
      DnsTarget t;
      t.host = s->host;
      t.port = s->port;
      t.priority = s->priority;
      if (t.port != 0)
        look->answer.targets.push_back(std::move(t));
    }
    ares_free_data(found);
    askAddresses(look);
  }

  // ---- c-ares' sockets and time limits on the loop

  struct Socket {
    explicit Socket(asio::io_context& io, ares_socket_t fd) : descriptor(io, fd) {}
    asio::posix::stream_descriptor descriptor;
    bool reads = false, writes = false, reading = false, writing = false, open = true;
  };

  static void socketState(void* argument, ares_socket_t fd, int reads, int writes) {
    Channel& c = *static_cast<Channel*>(argument);
    auto& s = c.sockets[fd];
    if (!reads && !writes) {  // c-ares closes it next
      if (s) {
        s->open = false;
        s->descriptor.release();  // calls its waits off
      }
      c.sockets.erase(fd);
      return;
    }
    if (!s)
      s = std::make_shared<Socket>(c.io, fd);
    s->reads = reads != 0;
    s->writes = writes != 0;
    c.waitFor(fd, s);
  }

  void waitFor(ares_socket_t fd, const std::shared_ptr<Socket>& s) {
    const auto wait = [&](bool wanted, bool Socket::*under_way,
                          asio::posix::stream_descriptor::wait_type type) {
      if (!wanted || (*s).*under_way)
        return;
      (*s).*under_way = true;
      s->descriptor.async_wait(type, [this, fd, s, under_way, type](error_code e) {
        (*s).*under_way = false;
        if (e || !s->open)
          return;
        const bool read = type == asio::posix::stream_descriptor::wait_read;
        ares_process_fd(channel, read ? fd : ARES_SOCKET_BAD, read ? ARES_SOCKET_BAD : fd);
        if (s->open)
          waitFor(fd, s);
        arm();
      });
    };
    wait(s->reads, &Socket::reading, asio::posix::stream_descriptor::wait_read);
    wait(s->writes, &Socket::writing, asio::posix::stream_descriptor::wait_write);
  }

  void arm() {
    timeval next{};
    if (!ares_timeout(channel, nullptr, &next)) {  // nothing is asked
      timer.cancel();
      return;
    }
    timer.expires_after(std::chrono::seconds(next.tv_sec) + std::chrono::microseconds(next.tv_usec));
    timer.async_wait([this](error_code e) {
      if (e)
        return;
      ares_process_fd(channel, ARES_SOCKET_BAD, ARES_SOCKET_BAD);
      arm();
    });
  }

  asio::io_context& io;
  asio::steady_timer timer;
  ares_channel channel = nullptr;
  std::map<ares_socket_t, std::shared_ptr<Socket>> sockets;
  bool ending = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

DnsClient::DnsClient(asio::io_context& io, const DnsServers& servers)
    : channel_(std::make_unique<Channel>(io)) {
  static const int begun = ares_library_init(ARES_LIB_INIT_ALL);
  if (begun != ARES_SUCCESS)
    throw std::runtime_error(std::string("c-ares: ") + ares_strerror(begun));
  ares_options o{};
  o.timeout = static_cast<int>(std::max<Micros>(1, servers.timeout / 1000));
  o.tries = servers.tries;
  o.flags = ARES_FLAG_NOSEARCH | ARES_FLAG_NOALIASES;
  o.sock_state_cb = &Channel::socketState;
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
    throw std::runtime_error(std::string("name servers: ") + ares_strerror(status));
  }
}

DnsClient::~DnsClient() {
  channel_->ending = true;
  ares_destroy(channel_->channel);
}

void DnsClient::look(const NameSpec& spec, Done done) {
  auto look = std::make_shared<Channel::Look>();
  look->spec = spec;
  look->done = std::move(done);
  if (!spec.srv.empty())
    return channel_->ask(look, spec.srv, 0, ns_t_srv);
  DnsTarget t;
  t.host = spec.host;
  t.port = spec.port;
  look->answer.targets.push_back(std::move(t));
  channel_->askAddresses(look);
}

}  // namespace grademux
