// grademux: the server for clients; see server.h.
#include "server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <tuple>
#include <vector>

#include "../../core/clock.h"
#include "../listener.h"
#include "commands.h"
#include "parser.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kPiece = 16384;
constexpr std::size_t kDiscard = 1u << 20;  // of a malformed request's rest
// A connection is owed an error or its end within 3 s. Limits on: the first byte, a whole request from its
// first byte on, a reply's way out, and the discard after an error.
constexpr Micros kFirstByte = 2'000'000, kWhole = 2'000'000, kWrite = 2'000'000, kLeave = 500'000;
constexpr Micros kLastPartial = 3'500'000;  // since clients are sent away: no half request holds on
constexpr Micros kSweep = 100'000;          // how often the limits are looked at
constexpr Micros kMayClose = 2'000'000;     // without an open request for so long, a client expects the end
constexpr Micros kKeep = 300'000'000;       // while few are open, a connection that asks seldom is let be
constexpr std::size_t kCrowd = 8;           // many are open once they take more than the table's part of this
constexpr Micros kNewcomer = 200'000;       // one that wants something has said so by then
// Places of the table, and the part of it at most, that are for connections on their way out.
constexpr std::size_t kClosingReserve = 16, kClosingPart = 16;
constexpr int kInUse = 8;        // see rank(): these are not ended for others
constexpr int kMostFaults = 12;  // useless requests in a row, answered ever more slowly
constexpr Micros kRest = 10'000, kMostRest = 320'000;

bool wholeNumber(const std::string& s, std::int64_t& out) {
  if (s.empty() || s.size() > 18 || s.find_first_not_of("0123456789") != std::string::npos) return false;
  out = std::strtoll(s.c_str(), nullptr, 10);
  return true;
}

// "c=notice,d=8000,..."; answers what is wrong, or nothing.
const char* readFields(const std::string& list, Submission& put) {
  bool timed = false, addressed = false;
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    const std::string item = list.substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos) return "malformed list of values";
    const std::string name = item.substr(0, equals), value = item.substr(equals + 1);
    std::int64_t n = 0;
    if (name == "c") {
      put.message.message_class = value;
    } else if (name == "d") {
      if (!wholeNumber(value, n) || n > kLongestLife / 1000) return "malformed d";
      put.may_last = n * 1000;
      timed = true;
    } else if (name == "dest") {
      // What begins like a number is one, or wrong: partners' names don't.
      const bool named = !value.empty() && value.find_first_not_of("+-0123456789.") != std::string::npos;
      if (named) put.partner = value;
      else if (!wholeNumber(value, put.message.destination)) return "malformed dest";
      addressed = true;
    } else if (name == "k") {
      put.message.idempotency_key = value;
    } else if (name == "r" || name == "again") {
      put.message.repeat = put.message.repeat || value == "1";
    }
  }
  if (put.message.message_class.empty()) return "no class";
  if (!timed) return "no d";
  if (!addressed) return "no dest";
  return nullptr;
}

// One RESP line.
std::string replyTo(const Answer& a) {
  switch (a.kind) {
    case Answer::Kind::accepted:
      return "+OK\r\n";
    case Answer::Kind::refused:
      return a.pause > 0 ? "-BUSY " + std::to_string((a.pause + 999) / 1000) + "\r\n" : "-BUSY\r\n";
    case Answer::Kind::rejected:
      return "-ERR " + a.why + "\r\n";
    case Answer::Kind::conflict:
      return "-ERR the id is another message's\r\n";
    case Answer::Kind::given_up:
      break;
  }
  return "-ERR given up\r\n";
}

}  // namespace

struct RespDoor::Session : std::enable_shared_from_this<Session> {
  enum class Phase {
    idle,     // between requests
    partial,  // the next one has begun
    asked,    // handed on, not answered
    waiting,  // for a message's end
    writing,  // the answer is on its way
    resting,  // was useless; what comes next waits
    leaving   // its end was sent; what comes is thrown away until the client ends its side
  };
  Session(RespDoor& c, tcp::socket s) : clients(c), socket(std::move(s)), rest(c.io_) {}

  RespDoor& clients;
  tcp::socket socket;
  asio::steady_timer rest;
  std::string in, out;
  RespClient client;
  std::string awaited;  // waiting: the message's id, and for how long
  Micros patience = 0;
  Phase phase = Phase::idle;
  Micros since = monotonicNow();
  std::size_t thrown = 0;
  int faults = 0;  // useless requests in a row
  bool closing = false, open = true, waits_to_read = false;
  bool useful = false, proven = false;  // has had an answer that was no error; has handed a message in

  void enter(Phase p) {
    if (p != Phase::partial || phase != p) since = monotonicNow();
    phase = p;
  }

  void wait() {
    if (waits_to_read) return;
    waits_to_read = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code e) {
      self->waits_to_read = false;
      const bool reads =
          self->phase == Phase::idle || self->phase == Phase::partial || self->phase == Phase::leaving;
      if (!self->open || !reads) return;
      if (e == asio::error::operation_aborted) return self->wait();
      e ? self->close() : self->read();
    });
  }

  void read() {
    error_code e;
    const std::size_t n = socket.read_some(asio::buffer(clients.piece_), e);
    if (e == asio::error::would_block || e == asio::error::try_again) return wait();
    if (e) return close();
    if (phase == Phase::leaving) {
      thrown += n;
      return thrown >= kDiscard ? close() : wait();
    }
    in.append(clients.piece_.data(), n);
    next();
  }

  // One request at a time; the next is read once this one is answered.
  void next() {
    std::vector<std::string> words;
    std::size_t used = 0;
    std::string error;
    switch (parseRequest(in, words, used, error, knowsCommand)) {
      case Parsed::partial:
        enter(in.empty() ? Phase::idle : Phase::partial);
        return wait();
      case Parsed::malformed:
        closing = true;
        return answer("-ERR " + error + "\r\n");
      case Parsed::whole:
        break;
    }
    in.erase(0, used);
    if (in.empty()) in.shrink_to_fit();
    RespCommand command = readCommand(
        words, client, {clients.sessions_.size(), monotonicNow() - clients.since_, clients.away()});
    switch (command.does) {
      case RespCommand::Does::put:
        return put(words);
      case RespCommand::Does::get:
        return answer(statusReply(clients.core_->status(words[1]), client.protocol));
      case RespCommand::Does::wait:
        if (!readWait(words[2], patience))
          return answer("-ERR a whole number of milliseconds is expected\r\n");
        awaited = words[1];
        enter(Phase::waiting);
        ++clients.unanswered_;
        return lookForEnd(monotonicNow());
      case RespCommand::Does::quit:
        closing = true;
        break;
      case RespCommand::Does::reply:
        break;
    }
    answer(command.reply);
  }

  // Answers once the message has ended, isn't known, the time is over, or the door drains.
  void lookForEnd(Micros now) {
    const Status s = clients.core_->status(awaited);
    if (s.state == Status::State::open && now - since < patience && !clients.away()) return;
    --clients.unanswered_;
    answer(statusReply(s, client.protocol));
  }

  void put(std::vector<std::string>& words) {
    Submission put;
    if (words[1].find_first_not_of('0') != std::string::npos) put.message.order_key = words[1];
    put.message.id = words[2];
    put.message.body = std::move(words[4]);
    if (put.message.id.empty() || !usableToken(put.message.id)) return answer("-ERR malformed id\r\n");
    if (const char* wrong = readFields(words[3], put)) return answer(std::string("-ERR ") + wrong + "\r\n");
    if (!usableToken(put.message.idempotency_key)) return answer("-ERR malformed k\r\n");
    put.door = "resp";
    enter(Phase::asked);
    ++clients.unanswered_;
    clients.core_->submit(std::move(put), [self = shared_from_this()](const Answer& a) {
      if (!self->open || self->phase != Phase::asked) return;  // the door may be gone, too
      --self->clients.unanswered_;
      self->answer(replyTo(a));
    });
  }

  // Guards all others against one that asks for what can't be done as fast as it is turned away: it is heard
  // ever more slowly, and then no more.
  void answer(const std::string& reply) {
    const bool useless = reply.rfind("-ERR", 0) == 0;
    faults = useless ? faults + 1 : 0;
    useful = useful || !useless;
    proven = proven || (!useless && phase == Phase::asked);
    closing = closing || faults >= kMostFaults;
    out = reply;
    enter(Phase::writing);
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open) return;
      if (e) return self->close();
      self->answered();
    });
  }

  void answered() {
    if (closing) return leave();
    if (clients.away() && in.empty() && nothingCame()) return leave();
    // Guards against clients that ask on and on over one connection and are never sent away. What they have
    // sent and was not read is theirs to send again.
    if (clients.away() && monotonicNow() - clients.away_since_ >= kSentAway) return leave();
    if (faults > 1) {
      enter(Phase::resting);
      rest.expires_after(std::chrono::microseconds(std::min(kMostRest, kRest << (faults - 2))));
      rest.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped && self->open && self->phase == Phase::resting) self->goOn();
      });
      return;
    }
    goOn();
  }

  void goOn() {
    enter(Phase::idle);
    in.empty() ? wait() : next();
  }

  bool nothingCame() {
    error_code error;
    return socket.available(error) == 0 && !error;
  }

  // Ends the connection in order: sends the end, then reads until the client ends its side, for a bounded
  // time, and heeds nothing of it. A close with input unread would reset the connection and take replies with
  // it that the client has not read; a request that comes from now on is the client's to send again.
  void leave() {
    if (!open || phase == Phase::leaving) return;
    if (phase == Phase::asked || phase == Phase::waiting) --clients.unanswered_;
    rest.cancel();
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    in.clear();
    enter(Phase::leaving);
    wait();
  }

  // Between requests, unless the next one has come meanwhile, which is then served first.
  void leaveIfIdle() {
    if (phase == Phase::idle && nothingCame()) leave();
  }

  // Guards against connections that hold their place for nothing: silent, half-sent, never read or left open.
  void checkLimit(Micros now) {
    const Micros spent = now - since;
    switch (phase) {
      case Phase::idle:
        if (clients.away() && now >= std::max(since, clients.away_since_) + momentOf(client.id)) {
          leaveIfIdle();
          break;
        }
        if (spent >= (!useful && faults == 0 ? kFirstByte : clients.crowded() ? kMayClose : kKeep))
          leaveIfIdle();
        break;
      case Phase::partial:
        if (spent < kWhole && !(clients.away() && now - clients.away_since_ >= kLastPartial)) break;
        socket.cancel();
        closing = true;
        answer("-ERR the request did not come to its end\r\n");
        break;
      case Phase::writing:
        if (spent >= kWrite) close();
        break;
      case Phase::leaving:
        if (spent >= kLeave) close();
        break;
      case Phase::waiting:
        lookForEnd(now);
        break;
      case Phase::asked:
      case Phase::resting:
        break;
    }
  }

  // How gladly it makes room for another, the lowest first; none with a request open.
  std::pair<int, Micros> rank(Micros now) const {
    const Micros spent = now - since;
    if (phase == Phase::asked || phase == Phase::writing) return {9, since};
    if (phase == Phase::waiting) return {7, since};  // closed, it may ask again: nothing is lost
    if (phase == Phase::partial && proven) return {kInUse, since};
    // A newcomer's first request is on its way: closed now, it would have failed.
    const bool useless = phase == Phase::leaving || phase == Phase::resting;
    if (useless || !proven) return {spent >= kNewcomer ? !useless : 4, since};
    return {spent >= kMayClose ? 2 : 3, since};
  }

  // At once: the client has ended, broke off or does not read, or its descriptor is needed. What has come is
  // read away first.
  void close() {
    if (!open) return;
    open = false;
    if (phase == Phase::asked || phase == Phase::waiting) --clients.unanswered_;
    rest.cancel();
    closeDrained(socket);
    clients.ended(shared_from_this());
  }
};

RespDoor::RespDoor(asio::io_context& io, const tcp::endpoint& listen, Limits limits, int passed)
    : io_(io), acceptor_(io), pause_(io), sweeper_(io), limits_(limits), piece_(kPiece) {
  passed_ = passed >= 0;
  if (passed_) takeDoor(acceptor_, passed, listen);
  else bindDoor(acceptor_, listen);
  acceptor_address_ = acceptor_.local_endpoint();
}

void RespDoor::start(Intake& core, const operate::State& state) {
  core_ = &core;
  state_ = &state;
  since_ = monotonicNow();
  if (!passed_) acceptor_.listen();
  accept();
  sweep();
}

RespDoor::~RespDoor() {
  const auto all = sessions_;
  for (const auto& s : all) {
    s->open = false;
    closeDrained(s->socket);
  }
}

// The connection that is least in use, if it may be ended: `leaving` ones counted or not.
std::shared_ptr<RespDoor::Session> RespDoor::leastUsed(bool leaving) const {
  const Micros now = monotonicNow();
  std::shared_ptr<Session> least;
  std::pair<int, Micros> least_rank{kInUse, 0};
  for (const auto& s : sessions_) {
    if (!leaving && s->phase == Session::Phase::leaving) continue;
    const auto rank = s->rank(now);
    if (rank < least_rank) {
      least = s;
      least_rank = rank;
    }
  }
  return least;
}

// Near the limit the one that is least in use makes room: in order while there is a reserve, at once when the
// table is full. Guards against idle, silent and useless connections that leave good clients waiting in the
// backlog, and against running out of descriptors, which the calls to endpoints need too.
bool RespDoor::makeRoom() {
  const std::size_t reserve = std::min(kClosingReserve, limits_.all / kClosingPart);
  const auto leaving = static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& s) { return s->phase == Session::Phase::leaving; }));
  if (reserve > 0 && sessions_.size() - leaving + reserve >= limits_.all)
    if (const auto least = leastUsed(false)) least->leave();
  while (sessions_.size() >= limits_.all) {
    const auto least = leastUsed(true);
    if (!least) return false;
    least->close();
  }
  return true;
}

// Those that hand messages in may hold so many connections altogether, idle ones too: beyond that they can't
// ask. So the one that has idled longest is ended while there is still room for the next.
void RespDoor::limitProven() {
  std::size_t proven = 0;
  std::shared_ptr<Session> longest;
  for (const auto& s : sessions_) {
    if (!s->proven || s->phase == Session::Phase::leaving) continue;
    ++proven;
    if (s->phase == Session::Phase::idle && (!longest || s->since < longest->since) && s->nothingCame())
      longest = s;
  }
  if (longest && proven >= limits_.proven) longest->leave();
}

// Guards against clients that ask once and keep their connection: those who hold it have only so many, too,
// and what idles here is missing there.
bool RespDoor::crowded() const { return kCrowd * sessions_.size() > limits_.all; }

void RespDoor::accept() {
  if (accepting_ || paused_) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    accepting_ = false;
    if (e == asio::error::operation_aborted) return;
    if (e) return retryAccept();  // out of descriptors, say: try again soon rather than spin
    error_code ignored;
    s.set_option(tcp::no_delay(true), ignored);
    s.non_blocking(true, ignored);
    newcomer_ = std::make_shared<Session>(*this, std::move(s));
    admit();
  });
}

void RespDoor::admit() {
  if (!makeRoom()) return retryAccept();  // each has a request open, which is a matter of milliseconds
  limitProven();
  const auto session = std::move(newcomer_);
  newcomer_ = nullptr;
  session->client.id = ++next_id_;
  sessions_.insert(session);
  session->read();  // its request has mostly come by now
  accept();
}

void RespDoor::retryAccept() {
  pause_.expires_after(std::chrono::milliseconds(20));
  pause_.async_wait([this](error_code stopped) {
    if (!stopped && !removed_) newcomer_ ? admit() : accept();
  });
}

void RespDoor::sweep() {
  const Micros now = monotonicNow();
  const auto all = sessions_;
  for (const auto& s : all)
    if (s->open) s->checkLimit(now);
  sweeper_.expires_after(std::chrono::microseconds(kSweep));
  sweeper_.async_wait([this](error_code stopped) {
    if (!stopped) sweep();
  });
}

void RespDoor::ended(const std::shared_ptr<Session>& s) { sessions_.erase(s); }

void RespDoor::drain(Leaving how) {
  away_since_ = monotonicNow();
  if (how == Leaving::standby) {
    const auto waiting = sessions_;
    for (const auto& s : waiting)
      if (s->phase == Session::Phase::waiting) s->lookForEnd(away_since_);
    return;
  }
  if (how == Leaving::removed) {
    removed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    newcomer_ = nullptr;
  }
  endBetweenRequests();
}

void RespDoor::endBetweenRequests() {
  const auto all = sessions_;
  for (const auto& s : all) {
    s->leaveIfIdle();
    if (s->phase == Session::Phase::waiting) s->lookForEnd(monotonicNow());
  }
}

void RespDoor::finish() {
  paused_ = true;  // whoever waits in the backlog has not been heard
  error_code ignored;
  acceptor_.cancel(ignored);
  pause_.cancel();
  newcomer_ = nullptr;
  const auto all = sessions_;
  for (const auto& s : all)
    if (s->phase != Session::Phase::writing) s->leave();
    else s->closing = true;
}

void RespDoor::pause() {
  paused_ = true;
  away_since_ = monotonicNow();
  error_code ignored;
  acceptor_.cancel(ignored);
  pause_.cancel();
  if (newcomer_) admit();
  endBetweenRequests();
}

std::size_t RespDoor::halfRead() const {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& s) { return s->phase == Session::Phase::partial; }));
}

void RespDoor::resume() {
  paused_ = false;
  accept();
}

}  // namespace grademux
