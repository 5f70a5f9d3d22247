// grademux: the RESP2 listener; see server.h.
#include "resp_listener.h"

#include <algorithm>
#include <chrono>

#include "../../core/clock.h"
#include "../listening_socket.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBuffer = 16384;  // bytes
constexpr Micros kSweepPeriod = 100'000;    // how often the limits of sessions are looked at
constexpr std::size_t kCrowdPart = 8;       // many are open once they take more than the table's part of this
// Places of the table, and the part of it at most, that are for connections that are closing.
constexpr std::size_t kClosingReserve = 16, kClosingPart = 16;
constexpr Micros kAcceptPause = 20'000;

}  // namespace

RespListener::RespListener(asio::io_context& io, const tcp::endpoint& listen, Limits limits, int passed)
    : io_(io),
      acceptor_(io),
      accept_timer_(io),
      sweep_timer_(io),
      limits_(limits),
      read_buffer_(kReadBuffer),
      passed_listener_(passed >= 0) {
  if (passed_listener_)
    adoptListeningSocket(acceptor_, passed, listen);
  else
    bindListener(acceptor_, listen);
  acceptor_address_ = acceptor_.local_endpoint();
}

RespListener::~RespListener() {
  for (const SessionPtr& session : sessions_)
    session->abandon();
}

void RespListener::start(SubmissionHandler& core, const operate::ServiceState& state) {
  handler_ = &core;
  state_ = &state;
  started_at_ = monotonicNow();
  if (!passed_listener_)
    acceptor_.listen();
  accept();
  sweep();
}

RespFacts RespListener::facts() const {
  return {sessions_.size(), monotonicNow() - started_at_, isDraining()};
}

std::size_t RespListener::openRequests() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [](const SessionPtr& s) { return s->hasUnanswered(); }));
}

std::size_t RespListener::countIn(RespSession::Phase phase) const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [&](const SessionPtr& s) { return s->phase() == phase; }));
}

std::size_t RespListener::halfRead() const {
  return countIn(RespSession::Phase::partial);
}

// ---- accepting

void RespListener::accept() {
  if (accepting_ || paused_)
    return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (error == asio::error::operation_aborted)
      return;
    if (error)
      return acceptLater();  // out of descriptors, say: try again soon rather than spin
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    admit(std::move(socket));
  });
}

void RespListener::admit(tcp::socket socket) {
  if (!makeRoom()) {  // each has a request open, which is a matter of milliseconds
    newcomer_ = std::make_unique<tcp::socket>(std::move(socket));
    return acceptLater();
  }
  limitProven();
  SessionOwner& owner = *this;
  const auto session = std::make_shared<RespSession>(io_, owner, std::move(socket), ++next_number_);
  sessions_.insert(session);
  session->start();  // its request has mostly come by now
  accept();
}

void RespListener::acceptLater() {
  accept_timer_.expires_after(std::chrono::microseconds(kAcceptPause));
  accept_timer_.async_wait([this](error_code stopped) {
    if (stopped || removed_)
      return;
    if (!newcomer_)
      return accept();
    const auto waiting = std::move(newcomer_);
    admit(std::move(*waiting));
  });
}

void RespListener::stopAccepting() {
  error_code ignored;
  acceptor_.cancel(ignored);
  accept_timer_.cancel();
}

// ---- bounds on the table

// Guards against clients that ask once and keep their connection: those who hold it have only so many, too,
// and what idles here is missing there.
bool RespListener::isCrowded() const {
  return kCrowdPart * sessions_.size() > limits_.all;
}

// The session that is least in use, if it may be closed; null: there is none.
RespListener::SessionPtr RespListener::leastUsed(bool closing_too) const {
  const Micros now = monotonicNow();
  SessionPtr least;
  RespSession::Rank least_rank{RespSession::kInUse, 0};
  for (const SessionPtr& session : sessions_) {
    if (!closing_too && session->phase() == RespSession::Phase::closing)
      continue;
    const RespSession::Rank rank = session->rank(now);
    if (rank >= least_rank)
      continue;
    least = session;
    least_rank = rank;
  }
  return least;
}

// Near the limit the session that is least in use makes room: gracefully while there is a reserve, at once
// when the table is full. Guards against idle, silent and useless connections that leave good clients waiting
// in the backlog, and against running out of descriptors, which the calls to endpoints need too.
bool RespListener::makeRoom() {
  const std::size_t reserve = std::min(kClosingReserve, limits_.all / kClosingPart);
  const std::size_t serving = sessions_.size() - countIn(RespSession::Phase::closing);
  if (reserve > 0 && serving + reserve >= limits_.all)
    if (const SessionPtr least = leastUsed(false))
      least->closeGracefully();
  while (sessions_.size() >= limits_.all) {
    const SessionPtr least = leastUsed(true);
    if (!least)
      return false;
    least->close();
  }
  return true;
}

// Those that hand messages in may hold so many connections altogether, idle ones too: beyond that they can't
// ask. So the one that has idled longest is closed while there is still room for the next.
void RespListener::limitProven() {
  std::size_t proven = 0;
  SessionPtr longest;
  for (const SessionPtr& session : sessions_) {
    if (!session->proven() || session->phase() == RespSession::Phase::closing)
      continue;
    ++proven;
    const bool longer = !longest || session->since() < longest->since();
    if (session->phase() == RespSession::Phase::idle && longer && session->nothingCame())
      longest = session;
  }
  if (longest && proven >= limits_.proven)
    longest->closeGracefully();
}

void RespListener::sweep() {
  const Micros now = monotonicNow();
  const auto all = sessions_;
  for (const SessionPtr& session : all)
    session->checkLimit(now);
  sweep_timer_.expires_after(std::chrono::microseconds(kSweepPeriod));
  sweep_timer_.async_wait([this](error_code stopped) {
    if (!stopped)
      sweep();
  });
}

// ---- sending clients away

void RespListener::drain(DrainReason how) {
  draining_since_ = monotonicNow();
  if (how == DrainReason::standby) {
    const auto all = sessions_;
    for (const SessionPtr& session : all)
      session->checkOutcome(draining_since_);
    return;
  }
  if (how == DrainReason::removed) {
    removed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    newcomer_ = nullptr;
  }
  closeIdle();
}

void RespListener::closeIdle() {
  const auto all = sessions_;
  for (const SessionPtr& session : all) {
    session->closeIfIdle();
    session->checkOutcome(monotonicNow());
  }
}

void RespListener::pause() {
  paused_ = true;
  draining_since_ = monotonicNow();
  stopAccepting();
  if (const auto waiting = std::move(newcomer_))
    admit(std::move(*waiting));
  closeIdle();
}

void RespListener::resume() {
  paused_ = false;
  accept();
}

void RespListener::finish() {
  paused_ = true;
  stopAccepting();
  newcomer_ = nullptr;  // it waited in vain, and has not been read
  const auto all = sessions_;
  for (const SessionPtr& session : all)
    session->finish();
}

}  // namespace grademux
