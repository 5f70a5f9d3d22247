// grademux: the doors of one process: those that the daemon file names, made, moved and removed as it
// changes, beside the platform's own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

#include "daemon_file.h"

namespace grademux {

class ListenerSet {
 public:
  explicit ListenerSet(boost::asio::io_context& io) : io_(io), timer_(io) {}

  // Binds all of them, or throws std::runtime_error that names the door's address. Nothing is accepted yet.
  void bind(const std::vector<ListenerConfig>& specs);
  void start(SubmissionHandler& core, const operate::ServiceState& state);
  // ListenerSet that are new or have moved are bound and opened first, then those that are gone are drained.
  // Throws std::runtime_error when one can't be opened; then all is as before.
  void applyConfig(const std::vector<ListenerConfig>& specs);
  void drain(DrainReason how);  // how they stand to the state that start() was given
  // Another process takes the addresses over: they are given up here, without a word to those who wait.
  void releaseAddresses();
  void
  reacquireAddresses();  // it did not come to that; throws std::runtime_error when an address can't be had
  // Requests without an answer, at doors that are leaving too.
  std::size_t openRequests() const;
  std::size_t count() const { return listeners_.size(); }

 private:
  struct Entry {
    ListenerConfig spec;
    std::unique_ptr<Listener> door;
  };
  std::unique_ptr<Listener> make(const ListenerConfig& spec);
  void reap();

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> listeners_;
  std::vector<std::pair<Micros, std::unique_ptr<Listener>>> draining_;  // until when it is waited for
  SubmissionHandler* core_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  bool reaping_ = false;
};

}  // namespace grademux
