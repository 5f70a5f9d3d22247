// grademux: client connections of the RESP2 listener; see session.h.
#include "session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "../../core/clock.h"
#include "../listener.h"
#include "parser.h"
#include "put_request.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A connection is owed an error or its end within 3 s. Limits on: the first byte, a whole request from its
// first byte on, and a reply's way out.
constexpr Micros kFirstByteLimit = 2'000'000, kRequestLimit = 2'000'000, kWriteLimit = 2'000'000;
constexpr Micros kLastRequestLimit = 3'500'000;  // of a request, since clients are sent away
constexpr Micros kKeepAlive = 300'000'000;  // while few are open, a connection that asks seldom is let be
constexpr int kMostUseless = 12;            // useless requests in a row, answered ever more slowly
constexpr Micros kThrottle = 10'000, kMostThrottle = 320'000;

}  // namespace

RespSession::RespSession(asio::io_context& io, SessionOwner& owner, tcp::socket socket, std::int64_t number)
    : owner_(owner), socket_(std::move(socket)), throttle_timer_(io), since_(monotonicNow()) {
  client_.id = number;
}

void RespSession::enter(Phase phase) {
  if (phase == Phase::partial && phase_ == phase)
    return;  // the time limit runs from the first byte of the request on
  since_ = monotonicNow();
  phase_ = phase;
  owner_.onPhaseEntered(*this);
}

void RespSession::waitToRead() {
  if (waits_to_read_)
    return;
  waits_to_read_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->waits_to_read_ = false;
    const bool reads =
        self->phase_ == Phase::idle || self->phase_ == Phase::partial || self->phase_ == Phase::closing;
    if (!self->open_ || !reads)
      return;
    if (error == asio::error::operation_aborted)
      return self->waitToRead();
    error ? self->close() : self->read();
  });
}

void RespSession::read() {
  error_code error;
  std::vector<char>& buffer = owner_.readBuffer();
  const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again)
    return waitToRead();
  if (error)
    return close();
  if (phase_ == Phase::closing) {
    return graceful_close_.discard(size) ? close() : waitToRead();
  }
  in_.append(buffer.data(), size);
  parse();
}

// One request at a time; the next is read once this one is answered.
void RespSession::parse() {
  std::vector<std::string> words;
  std::size_t used = 0;
  std::string error;
  switch (parseRequest(in_, words, used, error, knowsCommand)) {
    case Parsed::partial:
      enter(in_.empty() ? Phase::idle : Phase::partial);
      return waitToRead();
    case Parsed::malformed:
      last_reply_ = true;
      return answer("-ERR " + error + "\r\n");
    case Parsed::whole:
      break;
  }
  in_.erase(0, used);
  if (in_.empty())
    in_.shrink_to_fit();
  run(words);
}

void RespSession::run(std::vector<std::string>& words) {
  const RespCommand command = readCommand(words, client_, owner_.facts());
  switch (command.does) {
    case RespCommand::Does::put:
      return put(words);
    case RespCommand::Does::get:
      return answer(statusReply(owner_.handler().status(words[1]), client_.protocol));
    case RespCommand::Does::wait:
      return waitForOutcome(words);
    case RespCommand::Does::quit:
      last_reply_ = true;
      break;
    case RespCommand::Does::reply:
      break;
  }
  answer(command.reply);
}

void RespSession::put(std::vector<std::string>& words) {
  PutRequest request = readPut(words);
  if (request.error)
    return answer("-ERR " + *request.error + "\r\n");
  enter(Phase::asked);
  owner_.handler().submit(std::move(request.submission),
                          [self = shared_from_this()](const SubmissionResult& given) {
                            // The connection, and the listener with it, may be gone by now.
                            if (self->open_ && self->phase_ == Phase::asked)
                              self->answer(replyTo(given));
                          });
}

void RespSession::waitForOutcome(const std::vector<std::string>& words) {
  if (!readWait(words[2], patience_))
    return answer("-ERR a whole number of milliseconds is expected\r\n");
  awaited_id_ = words[1];
  enter(Phase::waiting);
  checkOutcome(monotonicNow());
}

void RespSession::checkOutcome(Micros now) {
  if (!open_ || phase_ != Phase::waiting)
    return;
  const MessageStatus status = owner_.handler().status(awaited_id_);
  const bool may_wait = now - since_ < patience_ && !owner_.isDraining();
  if (status.state == MessageStatus::State::open && may_wait)
    return;
  answer(statusReply(status, client_.protocol));
}

// Guards all others against one that asks for what can't be done as fast as it is turned away: it is heard
// ever more slowly, and then no more.
void RespSession::answer(const std::string& reply) {
  const bool useless = reply.rfind("-ERR", 0) == 0;
  useless_requests_ = useless ? useless_requests_ + 1 : 0;
  useful_ = useful_ || !useless;
  proven_ = proven_ || (!useless && phase_ == Phase::asked);
  last_reply_ = last_reply_ || useless_requests_ >= kMostUseless;
  out_ = reply;
  enter(Phase::writing);
  asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code error, std::size_t) {
    if (!self->open_)
      return;
    error ? self->close() : self->answered();
  });
}

void RespSession::answered() {
  if (last_reply_)
    return closeGracefully();
  if (owner_.isDraining()) {
    if (in_.empty() && isInputEmpty())
      return closeGracefully();
    // Guards against clients that ask on and on over one connection and are never sent away. What they have
    // sent and was not read is theirs to send again.
    if (monotonicNow() - owner_.drainingSince() >= kDrainDeadline)
      return closeGracefully();
  }
  useless_requests_ > 1 ? throttle() : goOn();
}

void RespSession::throttle() {
  enter(Phase::throttled);
  const Micros pause = std::min(kMostThrottle, kThrottle << (useless_requests_ - 2));
  throttle_timer_.expires_after(std::chrono::microseconds(pause));
  throttle_timer_.async_wait([self = shared_from_this()](error_code stopped) {
    if (!stopped && self->open_ && self->phase_ == Phase::throttled)
      self->goOn();
  });
}

void RespSession::goOn() {
  enter(Phase::idle);
  in_.empty() ? waitToRead() : parse();
}

bool RespSession::isInputEmpty() const {
  return grademux::isInputEmpty(socket_);
}

void RespSession::closeGracefully() {
  if (!open_ || phase_ == Phase::closing)
    return;
  throttle_timer_.cancel();
  graceful_close_.start(socket_, monotonicNow());
  in_.clear();
  enter(Phase::closing);
  waitToRead();
}

void RespSession::closeIfIdle() {
  if (phase_ == Phase::idle && isInputEmpty())
    closeGracefully();
}

void RespSession::finish() {
  if (phase_ == Phase::writing)
    last_reply_ = true;
  else
    closeGracefully();
}

void RespSession::close() {
  if (!open_)
    return;
  const auto self = shared_from_this();  // the owner may hold the last other reference
  abandon();
  owner_.onSessionClosed(*this);
}

void RespSession::abandon() {
  open_ = false;
  throttle_timer_.cancel();
  closeNow(socket_);
}

void RespSession::checkLimit(Micros now) {
  if (!open_)
    return;
  const Micros spent = now - since_;
  switch (phase_) {
    case Phase::idle:
      return checkIdle(now);
    case Phase::partial:
      return checkPartial(now);
    case Phase::writing:
      if (spent >= kWriteLimit)
        close();
      return;
    case Phase::closing:
      if (graceful_close_.isExpired(now))
        close();
      return;
    case Phase::waiting:
      return checkOutcome(now);
    case Phase::asked:
    case Phase::throttled:
      return;
  }
}

void RespSession::checkIdle(Micros now) {
  if (owner_.isDraining() && now >= std::max(since_, owner_.drainingSince()) + drainDelay(client_.id))
    return closeIfIdle();
  const bool has_asked = useful_ || useless_requests_ > 0;
  const Micros limit = !has_asked ? kFirstByteLimit : owner_.isCrowded() ? kIdleCloseable : kKeepAlive;
  if (now - since_ >= limit)
    closeIfIdle();
}

void RespSession::checkPartial(Micros now) {
  const bool sent_away_long = owner_.isDraining() && now - owner_.drainingSince() >= kLastRequestLimit;
  if (now - since_ < kRequestLimit && !sent_away_long)
    return;
  socket_.cancel();
  last_reply_ = true;
  answer("-ERR the request did not come to its end\r\n");
}

}  // namespace grademux
