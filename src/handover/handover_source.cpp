// Handover in the process that is replaced; see handover_source.h.
#include "handover_source.h"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "../core/clock.h"

namespace grademux::handover {

namespace {

// Open requests may take this long. Clients wait 400 ms for an answer, and their next requests wait for the
// other process in the meantime.
constexpr Micros kQuiescenceTimeout = 150'000;
constexpr Micros kQuiescencePollInterval = 2'000;

}  // namespace

HandoverSource::HandoverSource(boost::asio::io_context& io, int folder_fd, Callbacks callbacks)
    : io_(io), folder_fd_(folder_fd), callbacks_(std::move(callbacks)), acceptor_(io), timer_(io) {
  const auto address = socketAddress(folder_fd_);
  ::unlink(address.path().c_str());  // left by an earlier process; this process owns the folder
  acceptor_.open();
  acceptor_.bind(address);
  acceptor_.listen();
  accept();
}

HandoverSource::~HandoverSource() {
  if (state_.ownsFolder())
    ::unlink(socketAddress(folder_fd_).path().c_str());
}

void HandoverSource::accept() {
  acceptor_.async_accept([this](boost::system::error_code error, LineSocket::Socket socket) {
    if (error)
      return;
    onConnected(std::move(socket));
    accept();
  });
}

void HandoverSource::onConnected(LineSocket::Socket socket) {
  if (peer_) {
    LineSocket second_peer(
        std::move(socket), [](const Message&) {}, nullptr);
    second_peer.send(HandoverRejected{"another process takes over already"});
    return;
  }
  peer_ = std::make_unique<LineSocket>(
      std::move(socket), [this](const Message& message) { onMessage(message); },
      [this] { boost::asio::post(io_, [this] { onPeerClosed(); }); });
}

void HandoverSource::onMessage(const Message& message) {
  if (const auto* request = std::get_if<HandoverRequest>(&message)) {
    onRequest(*request);
  } else if (std::get_if<OwnershipAcquired>(&message)) {
    if (state_.onAcquired())
      callbacks_.on_complete();
  } else if (const auto* cancel = std::get_if<CancelInherited>(&message)) {
    if (!state_.ownsFolder())
      callbacks_.cancel(cancel->attempt);
  }
}

void HandoverSource::onRequest(const HandoverRequest& request) {
  std::string reason = callbacks_.rejection_reason();
  if (request.version != kProtocolVersion)
    reason = "version " + std::to_string(kProtocolVersion) + " of this channel is known";
  if (!reason.empty())
    return peer_->send(HandoverRejected{reason});
  if (!state_.onRequested())
    return peer_->send(HandoverRejected{"asked already"});
  callbacks_.close();
  awaitQuiescence(monotonicNow());
}

void HandoverSource::awaitQuiescence(Micros since) {
  if (state_.step() != HandoverStep::closing)
    return;
  if (callbacks_.is_quiescent() || monotonicNow() - since >= kQuiescenceTimeout)
    return release();
  timer_.expires_after(std::chrono::microseconds(kQuiescencePollInterval));
  timer_.async_wait([this, since](boost::system::error_code error) {
    if (!error)
      awaitQuiescence(since);
  });
}

void HandoverSource::release() {
  const OwnershipReleased released = callbacks_.release();
  state_.onReleased();
  peer_->send(released);
}

void HandoverSource::onAttemptFinished(const AttemptOutcome& outcome) {
  if (peer_)
    peer_->send(AttemptFinished{outcome});
}

void HandoverSource::onPeerClosed() {
  peer_.reset();
  const bool has_changed = state_.onPeerClosed(callbacks_.reacquire);
  if (state_.step() == HandoverStep::departed)
    callbacks_.cancel_all();  // nobody learns of their outcomes, and the next process counts them as ended
  if (!has_changed)
    return;
  if (state_.ownsFolder())
    callbacks_.resume();
  else
    callbacks_.on_complete();
}

}  // namespace grademux::handover
