// grademux: the process that is replaced; see giver.h.
#include "handover_source.h"

#include <unistd.h>

#include <boost/asio/post.hpp>

#include "../core/clock.h"

namespace grademux::handover {

namespace {

// Clients wait 400 ms for an answer, and what they send meanwhile waits for the other process: so long at
// most for requests that are open, and how often it is looked.
constexpr Micros kQuiet = 150'000, kLook = 2'000;

}  // namespace

HandoverSource::HandoverSource(boost::asio::io_context& io, int folder_fd, Callbacks owner)
    : io_(io), folder_fd_(folder_fd), owner_(std::move(owner)), acceptor_(io), timer_(io) {
  const auto at = channelIn(folder_fd_);
  ::unlink(at.path().c_str());  // of an earlier process: the folder is this one's
  acceptor_.open();
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

HandoverSource::~HandoverSource() {
  if (steps_.mayDecide())
    ::unlink(channelIn(folder_fd_).path().c_str());
}

void HandoverSource::accept() {
  acceptor_.async_accept([this](boost::system::error_code e, LineSocket::Socket s) {
    if (e)
      return;
    if (other_) {
      LineSocket busy(
          std::move(s), [](const Message&) {}, nullptr);
      busy.send(HandoverRejected{"another process takes over already"});
    } else {
      other_ = std::make_unique<LineSocket>(
          std::move(s), [this](const Message& m) { onMessage(m); },
          [this] { boost::asio::post(io_, [this] { onPeerClosed(); }); });
    }
    accept();
  });
}

void HandoverSource::onMessage(const Message& m) {
  if (const auto* take = std::get_if<HandoverRequest>(&m)) {
    std::string why = owner_.rejection_reason();
    if (take->version != kProtocolVersion)
      why = "version " + std::to_string(kProtocolVersion) + " of this channel is known";
    if (!why.empty() || !steps_.onRequested())
      return other_->send(HandoverRejected{why.empty() ? "asked already" : why});
    owner_.close();
    awaitQuiet(monotonicNow());
  } else if (std::get_if<OwnershipAcquired>(&m)) {
    if (steps_.onAcquired())
      owner_.on_complete();
  } else if (const auto* cancel = std::get_if<CancelInherited>(&m)) {
    if (!steps_.mayDecide())
      owner_.cancel(cancel->attempt);
  }
}

void HandoverSource::awaitQuiet(Micros since) {
  if (steps_.step() != HandoverStep::closing)
    return;
  if (!owner_.is_quiescent() && monotonicNow() - since < kQuiet) {
    timer_.expires_after(std::chrono::microseconds(kLook));
    timer_.async_wait([this, since](boost::system::error_code e) {
      if (!e)
        awaitQuiet(since);
    });
    return;
  }
  const OwnershipReleased given = owner_.release();
  steps_.onReleased();
  other_->send(given);
}

void HandoverSource::onAttemptFinished(const AttemptOutcome& o) {
  if (other_)
    other_->send(AttemptFinished{o});
}

void HandoverSource::onPeerClosed() {
  other_.reset();
  if (steps_.onPeerClosed(owner_.reacquire)) {
    if (steps_.mayDecide())
      owner_.resume();
    else
      owner_.on_complete();
  }
}

}  // namespace grademux::handover
