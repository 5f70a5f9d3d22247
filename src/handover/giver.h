// grademux: the process that is replaced: it listens in its folder, gives folder and journal to the process
// that asks, and reports the end of each call that it keeps. One caller at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "line_socket.h"
#include "steps.h"

namespace grademux::handover {

class Giver {
 public:
  // What the process does at each step; all on the loop thread.
  struct Owner {
    std::function<std::string()> refuses;       // why not now; empty: nothing stands against it
    std::function<void()> close;                // accept nobody, end connections between requests
    std::function<bool()> quiet;                // no request is open
    std::function<Given()> give;                // decide for the last time, write, free folder and journal
    std::function<bool()> own_again;            // false: the folder is another's, or was written to
    std::function<void()> resume;               // after close(), and after own_again() where it was given
    std::function<void(const CallId&)> cancel;  // of a call that stayed here
    std::function<void()> left;                 // the other owns it for good
  };

  // Listens at the folder's channel, in place of whoever did before; throws std::exception when it can't.
  Giver(boost::asio::io_context& io, int folder_fd, Owner owner);
  ~Giver();
  Giver(const Giver&) = delete;
  Giver& operator=(const Giver&) = delete;

  const Steps& steps() const { return steps_; }
  void ended(const Outcome& o);  // of a call that stayed here, from when it was given
  bool unsaid() const { return other_ && other_->unsaid(); }

 private:
  void accept();
  void hear(const Message& m);
  void awaitQuiet(Micros since);
  void gone();

  boost::asio::io_context& io_;
  int folder_fd_;
  Owner owner_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LineSocket> other_;
  Steps steps_;
};

}  // namespace grademux::handover
