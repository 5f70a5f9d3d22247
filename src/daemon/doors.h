// grademux: the doors of one process: those that the daemon file names, made, moved and removed as it
// changes, beside the platform's own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

#include "daemon_file.h"

namespace grademux {

class Doors {
 public:
  explicit Doors(boost::asio::io_context& io) : io_(io), timer_(io) {}

  // Binds all of them, or throws std::runtime_error that names the door's address. Nothing is accepted yet.
  void bind(const std::vector<DoorSpec>& specs);
  void start(Intake& core, const operate::State& state);
  // Doors that are new or have moved are bound and opened first, then those that are gone are drained. Throws
  // std::runtime_error when one can't be opened; then all is as before.
  void change(const std::vector<DoorSpec>& specs);
  void drain(Leaving how);  // how they stand to the state that start() was given
  // Another process takes the addresses over: they are given up here, without a word to those who wait.
  void giveUp();
  void retake();  // it did not come to that; throws std::runtime_error when an address can't be had
  // Requests without an answer, at doors that are leaving too.
  std::size_t open() const;
  std::size_t count() const { return doors_.size(); }

 private:
  struct Entry {
    DoorSpec spec;
    std::unique_ptr<Door> door;
  };
  std::unique_ptr<Door> make(const DoorSpec& spec);
  void reap();

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> doors_;
  std::vector<std::pair<Micros, std::unique_ptr<Door>>> leaving_;  // until when it is waited for
  Intake* core_ = nullptr;
  const operate::State* state_ = nullptr;
  bool reaping_ = false;
};

}  // namespace grademux
