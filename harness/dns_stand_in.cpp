// grademux harness: a name server; see dns_stand_in.h.
#include "dns_stand_in.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace grademux::harness {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using Bytes = std::vector<std::uint8_t>;

namespace {

constexpr int kTypeA = 1, kTypeAaaa = 28, kTypeSrv = 33;
constexpr std::size_t kHeader = 12, kMostQuery = 512;
constexpr int kPorts = 50;  // tries to have one port for both

void put16(Bytes& out, unsigned v) {
  out.push_back(static_cast<std::uint8_t>(v >> 8));
  out.push_back(static_cast<std::uint8_t>(v));
}
void put32(Bytes& out, std::uint32_t v) {
  put16(out, v >> 16);
  put16(out, v & 0xffff);
}
void putName(Bytes& out, const std::string& name) {
  for (std::size_t at = 0; at < name.size();) {
    const std::size_t end = std::min(name.find('.', at), name.size());
    out.push_back(static_cast<std::uint8_t>(end - at));
    out.insert(out.end(), name.begin() + static_cast<std::ptrdiff_t>(at),
               name.begin() + static_cast<std::ptrdiff_t>(end));
    at = end + 1;
  }
  out.push_back(0);
}

struct Record {
  int type;
  Bytes data;
};

}  // namespace

struct DnsStandIn::TcpSession : std::enable_shared_from_this<TcpSession> {
  TcpSession(DnsStandIn& s, tcp::socket k) : server(s), socket(std::move(k)) {}
  DnsStandIn& server;
  tcp::socket socket;
  std::array<std::uint8_t, 2> length{};
  Bytes in, out;

  void read() {
    asio::async_read(socket, asio::buffer(length), [self = shared_from_this()](error_code e, std::size_t) {
      if (e)
        return self->end();
      self->in.resize(static_cast<std::size_t>(self->length[0]) << 8 | self->length[1]);
      asio::async_read(self->socket, asio::buffer(self->in),
                       [self](error_code e2, std::size_t) { e2 ? self->end() : self->reply(); });
    });
  }
  void reply() {
    const Bytes answer = server.answer(in.data(), in.size(), true);
    if (answer.empty())
      return end();
    out.clear();
    put16(out, static_cast<unsigned>(answer.size()));
    out.insert(out.end(), answer.begin(), answer.end());
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      e ? self->end() : self->read();
    });
  }
  void end() {
    error_code ignored;
    socket.close(ignored);
    server.sessions_.erase(shared_from_this());
  }
};

DnsStandIn::DnsStandIn(asio::io_context& io) : udp_(io), tcp_(io), in_(kMostQuery) {
  for (int i = 0;; ++i) {
    error_code e;
    udp_ = udp::socket(io, {asio::ip::address_v4::loopback(), 0});
    const tcp::endpoint same{asio::ip::address_v4::loopback(), udp_.local_endpoint().port()};
    tcp_ = tcp::acceptor(io);
    tcp_.open(same.protocol());
    tcp_.set_option(tcp::acceptor::reuse_address(true));
    tcp_.bind(same, e);
    if (!e)
      break;
    if (i == kPorts)
      throw std::runtime_error("no port for a name server");
  }
  tcp_.listen();
  receive();
  accept();
}

DnsStandIn::~DnsStandIn() {
  for (const auto& s : sessions_) {
    error_code ignored;
    s->socket.close(ignored);
  }
}

std::string DnsStandIn::address() const {
  return "127.0.0.1:" + std::to_string(udp_.local_endpoint().port());
}

void DnsStandIn::receive() {
  udp_.async_receive_from(asio::buffer(in_), peer_, [this](error_code e, std::size_t size) {
    if (e == asio::error::operation_aborted)
      return;
    if (!e) {
      const Bytes out = answer(in_.data(), size, false);
      error_code ignored;
      if (!out.empty())
        udp_.send_to(asio::buffer(out), peer_, 0, ignored);
    }
    receive();
  });
}

void DnsStandIn::accept() {
  tcp_.async_accept([this](error_code e, tcp::socket s) {
    if (e == asio::error::operation_aborted)
      return;
    if (!e) {
      const auto session = std::make_shared<TcpSession>(*this, std::move(s));
      sessions_.insert(session);
      session->read();
    }
    accept();
  });
}

Bytes DnsStandIn::answer(const std::uint8_t* query, std::size_t size, bool over_tcp) {
  if (size < kHeader + 5)
    return {};
  std::string name;
  std::size_t at = kHeader;
  while (at < size && query[at] != 0) {
    const std::size_t label = query[at++];
    if (label > 63 || at + label > size)
      return {};
    if (!name.empty())
      name += '.';
    for (std::size_t i = 0; i < label; ++i)
      name += static_cast<char>(std::tolower(query[at + i]));
    at += label;
  }
  if (at + 5 > size)
    return {};
  const int type = query[at + 1] << 8 | query[at + 2];
  const Bytes question(query + kHeader, query + at + 5);
  if (over_tcp)
    ++over_tcp_;

  const auto found = zone.find(name);
  DnsFault fault = found == zone.end() ? DnsFault::no_name : found->second.fault;
  if (fault == DnsFault::silent || (fault == DnsFault::cut_off && over_tcp))
    return {};
  std::vector<Record> records;
  if (found != zone.end() && fault != DnsFault::no_data) {
    const DnsZoneEntry& z = found->second;
    if (type == kTypeA)
      for (const std::string& a : z.v4) {
        const auto b = asio::ip::make_address_v4(a).to_bytes();
        records.push_back({type, {b.begin(), b.end()}});
      }
    if (type == kTypeAaaa)
      for (const std::string& a : z.v6) {
        const auto b = asio::ip::make_address_v6(a).to_bytes();
        records.push_back({type, {b.begin(), b.end()}});
      }
    if (type == kTypeSrv)
      for (const DnsService& s : z.services) {
        Record r{type, {}};
        for (const int v : {s.priority, s.weight, s.port})
          put16(r.data, static_cast<unsigned>(v));
        putName(r.data, s.target);
        records.push_back(std::move(r));
      }
  }
  const bool cut = (fault == DnsFault::truncated && !over_tcp) || fault == DnsFault::cut_off;
  if (cut && records.size() > 1)
    records.resize(1);
  const unsigned code = fault == DnsFault::no_name   ? 3
                        : fault == DnsFault::failed  ? 2
                        : fault == DnsFault::refused ? 5
                                                     : 0;
  if (code != 0)
    records.clear();

  if (const auto then = on_answer_.find(name); then != on_answer_.end() && fault == DnsFault::none) {
    const auto call = std::move(then->second);
    on_answer_.erase(then);
    call();
  }
  Bytes out;
  const unsigned id = static_cast<unsigned>(query[0]) << 8 | query[1];
  put16(out, fault == DnsFault::other_id ? id ^ 0x5555 : id);
  put16(out, 0x8580 | (cut ? 0x0200 : 0) | code);  // an answer, authoritative, recursion
  put16(out, 1);
  put16(out, static_cast<unsigned>(records.size()));
  put16(out, 0);
  put16(out, 0);
  if (fault == DnsFault::other_name) {
    putName(out, "other." + name);
    put16(out, static_cast<unsigned>(type));
    put16(out, 1);
  } else {
    out.insert(out.end(), question.begin(), question.end());
  }
  if (fault == DnsFault::garbled) {
    for (int i = 0; i < 40; ++i)
      out.push_back(static_cast<std::uint8_t>(0xff - 7 * i));
    out[7] = 9;  // answers that are not there
    return out;
  }
  for (const Record& r : records) {
    put16(out, 0xc000 | kHeader);  // the question's name
    put16(out, static_cast<unsigned>(r.type));
    put16(out, 1);
    put32(out, found->second.ttl);
    put16(out, static_cast<unsigned>(r.data.size()));
    out.insert(out.end(), r.data.begin(), r.data.end());
  }
  return out;
}

}  // namespace grademux::harness
