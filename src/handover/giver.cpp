// grademux: the process that is replaced; see giver.h.
#include "giver.h"

#include <unistd.h>

#include <boost/asio/post.hpp>

#include "../core/clock.h"

namespace grademux::handover {

namespace {

// Clients wait 400 ms for an answer, and what they send meanwhile waits for the other process: so long at
// most for requests that are open, and how often it is looked.
constexpr Micros kQuiet = 150'000, kLook = 2'000;

}  // namespace

Giver::Giver(boost::asio::io_context& io, int folder_fd, Owner owner)
    : io_(io), folder_fd_(folder_fd), owner_(std::move(owner)), acceptor_(io), timer_(io) {
  const auto at = channelIn(folder_fd_);
  ::unlink(at.path().c_str());  // of an earlier process: the folder is this one's
  acceptor_.open();
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

Giver::~Giver() {
  if (steps_.decides())
    ::unlink(channelIn(folder_fd_).path().c_str());
}

void Giver::accept() {
  acceptor_.async_accept([this](boost::system::error_code e, LineSocket::Socket s) {
    if (e)
      return;
    if (other_) {
      LineSocket busy(
          std::move(s), [](const Message&) {}, nullptr);
      busy.say(Refused{"another process takes over already"});
    } else {
      other_ = std::make_unique<LineSocket>(
          std::move(s), [this](const Message& m) { hear(m); },
          [this] { boost::asio::post(io_, [this] { gone(); }); });
    }
    accept();
  });
}

void Giver::hear(const Message& m) {
  if (const auto* take = std::get_if<Take>(&m)) {
    std::string why = owner_.refuses();
    if (take->version != kVersion)
      why = "version " + std::to_string(kVersion) + " of this channel is known";
    if (!why.empty() || !steps_.asked())
      return other_->say(Refused{why.empty() ? "asked already" : why});
    owner_.close();
    awaitQuiet(monotonicNow());
  } else if (std::get_if<Taken>(&m)) {
    if (steps_.taken())
      owner_.left();
  } else if (const auto* cancel = std::get_if<CancelCall>(&m)) {
    if (!steps_.decides())
      owner_.cancel(cancel->call);
  }
}

void Giver::awaitQuiet(Micros since) {
  if (steps_.step() != Step::closing)
    return;
  if (!owner_.quiet() && monotonicNow() - since < kQuiet) {
    timer_.expires_after(std::chrono::microseconds(kLook));
    timer_.async_wait([this, since](boost::system::error_code e) {
      if (!e)
        awaitQuiet(since);
    });
    return;
  }
  const Given given = owner_.give();
  steps_.gave();
  other_->say(given);
}

void Giver::ended(const Outcome& o) {
  if (other_)
    other_->say(Ended{o});
}

void Giver::gone() {
  other_.reset();
  if (steps_.gone(owner_.own_again)) {
    if (steps_.decides())
      owner_.resume();
    else
      owner_.left();
  }
}

}  // namespace grademux::handover
