// See resp_listener.h.
#include "resp_listener.h"

#include <algorithm>
#include <initializer_list>

#include "../../core/clock.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using Phase = RespSession::Phase;

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr int kSendBufferBytes = 32768;     // the kernel's send buffer of each connection
constexpr std::size_t kCrowdedDivisor = 8;  // the table is crowded when more than 1/8 of it is in use
// Places of the table that are reserved for closing connections: 16, and at most 1/16 of the table.
constexpr std::size_t kClosingReserve = 16, kClosingReserveDivisor = 16;
// Time in microseconds after which a new client that has a request has sent it.
constexpr Micros kNewClientGrace = 200'000;

constexpr std::size_t groupOf(Phase phase, bool has_submitted) {
  return 2 * static_cast<std::size_t>(phase) + (has_submitted ? 1 : 0);
}

// The session that has been in its phase for the longest time; null if all are null.
std::shared_ptr<RespSession> longestInPhase(std::initializer_list<std::shared_ptr<RespSession>> sessions) {
  std::shared_ptr<RespSession> longest;
  for (const auto& session : sessions)
    if (session && (!longest || session->since() < longest->since()))
      longest = session;
  return longest;
}

}  // namespace

RespListener::RespListener(asio::io_context& io, const tcp::endpoint& listen, Limits limits,
                           ClientMemory& memory, int passed)
    : io_(io),
      acceptor_(io, *this, ConnectionAcceptor::RoomCheck::after_accept),
      limits_(limits),
      memory_(memory),
      read_buffer_(kReadBufferBytes) {
  if (passed >= 0)
    acceptor_.adopt(passed, listen);
  else
    acceptor_.bind(listen);
  acceptor_.setSendBufferSize(kSendBufferBytes);
}

RespListener::~RespListener() {
  sessions_.forEach([](RespSession& session) { session.abandon(); });
}

void RespListener::start(SubmissionHandler& core, const operate::ServiceState& state) {
  handler_ = &core;
  state_ = &state;
  started_at_ = monotonicNow();
  acceptor_.start();
}

ListenerStatus RespListener::status() const {
  return {sessions_.size(), monotonicNow() - started_at_, isDraining()};
}

std::size_t RespListener::countIn(Phase phase) const {
  return sessions_.count(groupOf(phase, false)) + sessions_.count(groupOf(phase, true));
}

std::size_t RespListener::countSubmitters() const {
  std::size_t count = 0;
  for (std::size_t phase = 0; phase < RespSession::kPhaseCount; ++phase)
    if (static_cast<Phase>(phase) != Phase::closing)
      count += sessions_.count(groupOf(static_cast<Phase>(phase), true));
  return count;
}

std::size_t RespListener::openRequests() const {
  return countIn(Phase::submitted) + countIn(Phase::waiting);
}

std::size_t RespListener::partialRequests() const {
  return countIn(Phase::partial);
}

void RespListener::onPhaseEntered(const RespSession& session) {
  sessions_.move(session, groupOf(session.phase(), session.hasSubmitted()));
}

void RespListener::serve(tcp::socket socket) {
  limitSubmitters();
  SessionOwner& owner = *this;
  const auto session = std::make_shared<RespSession>(io_, owner, std::move(socket), ++next_number_);
  sessions_.add(session, groupOf(session->phase(), session->hasSubmitted()));
  session->start();  // its first request has usually arrived by now
}

// ---- bounds on the table

// While the table is crowded, idle connections are closed sooner: otherwise, clients that open a connection
// for each request and keep it open would run out of their own descriptors, too.
bool RespListener::isCrowded() const {
  return kCrowdedDivisor * sessions_.size() > maxConnections();
}

std::size_t RespListener::maxConnections() const {
  return std::min(limits_.all, memory_.connectionLimit() / RespSession::kConnectionBytes);
}

bool RespListener::hasRoom() const {
  return sessions_.size() < limits_.all && memory_.hasRoomForConnection(RespSession::kConnectionBytes);
}

// The session whose close costs its client least; null if each session is in use. The order, and within each
// kind the order of the time in the phase: throttled or closing sessions, clients that have never submitted,
// idle sessions, new clients, and sessions that wait for a final outcome (which clients can query again).
RespListener::SessionPtr RespListener::leastUsed(bool include_closing) const {
  const auto oldest = [this](Phase phase, bool has_submitted) {
    return sessions_.oldest(groupOf(phase, has_submitted));
  };
  SessionPtr unproductive = longestInPhase({oldest(Phase::throttled, false), oldest(Phase::throttled, true)});
  if (include_closing)
    unproductive =
        longestInPhase({unproductive, oldest(Phase::closing, false), oldest(Phase::closing, true)});
  const SessionPtr non_submitter =
      longestInPhase({oldest(Phase::idle, false), oldest(Phase::partial, false)});
  const Micros now = monotonicNow();
  for (const SessionPtr& candidate : {unproductive, non_submitter})
    if (candidate && now - candidate->since() >= kNewClientGrace)
      return candidate;
  if (SessionPtr idle = oldest(Phase::idle, true))
    return idle;
  if (SessionPtr new_client = longestInPhase({unproductive, non_submitter}))
    return new_client;
  return longestInPhase({oldest(Phase::waiting, false), oldest(Phase::waiting, true)});
}

// Near the limit, closes the least used session: gracefully while there is a reserve, without waiting for the
// client when the table is full. This keeps idle, silent and failing clients from blocking the backlog, and
// leaves descriptors for the connections to endpoints.
bool RespListener::makeRoom() {
  const std::size_t reserve = std::min(kClosingReserve, maxConnections() / kClosingReserveDivisor);
  const std::size_t serving = sessions_.size() - countIn(Phase::closing);
  if (reserve > 0 && serving + reserve >= maxConnections())
    if (const SessionPtr least = leastUsed(false))
      least->closeGracefully();
  while (!hasRoom()) {
    const SessionPtr least = leastUsed(true);
    if (!least)
      return false;
    least->close();
  }
  return true;
}

// Of the sessions that have submitted, closes the one that has been idle longest before the limit is
// exceeded, so that the next client that submits has a place.
void RespListener::limitSubmitters() {
  if (countSubmitters() < limits_.submitters)
    return;
  const auto& idle = sessions_.members(groupOf(Phase::idle, true));
  const auto longest = std::find_if(idle.begin(), idle.end(),
                                    [](const SessionPtr& session) { return session->isInputEmpty(); });
  if (longest != idle.end())
    SessionPtr(*longest)->closeGracefully();
}

void RespListener::sweep() {
  const Micros now = monotonicNow();
  sessions_.forEach([now](RespSession& session) { session.checkLimit(now); });
  memory_.relieve(now);
}

// ---- draining

BufferUsage RespListener::bufferUsage() const {
  BufferUsage usage;
  sessions_.forEach([&usage](const RespSession& session) { usage += session.bufferUsage(); });
  return usage;
}

void RespListener::drain(DrainReason reason) {
  draining_since_ = monotonicNow();
  if (reason == DrainReason::standby) {
    sessions_.forEach([this](RespSession& session) { session.checkOutcome(draining_since_); });
    return;
  }
  if (reason == DrainReason::removed) {
    removed_ = true;
    acceptor_.close();
  }
  closeIdle();
}

void RespListener::closeIdle() {
  sessions_.forEach([](RespSession& session) {
    session.closeIfIdle();
    session.checkOutcome(monotonicNow());
  });
}

void RespListener::pause() {
  paused_ = true;
  draining_since_ = monotonicNow();
  acceptor_.pause();
  closeIdle();
}

void RespListener::resume() {
  paused_ = false;
  acceptor_.resume();
}

void RespListener::finish() {
  paused_ = true;
  acceptor_.stop();
  sessions_.forEach([](RespSession& session) { session.finish(); });
}

}  // namespace grademux
