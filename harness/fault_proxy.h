// grademux harness: a link between two processes: a relay on loopback whose faults are set from outside. Each
// pair of processes that talk has one of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>

#include "grademux/sender.h"

namespace grademux::harness {

class FaultProxy {
 public:
  enum class Mode { forwarding, cut, cut_there, cut_back, refused };
  // Listens at a free port on 127.0.0.1 and leads to `target`.
  FaultProxy(boost::asio::io_context& io, std::string target);
  ~FaultProxy();
  std::string address() const;

  // On its io_context alone. `cut`: connections stay open, and nothing passes, either way or one way alone;
  // what was held back passes once it is whole again. `refused`: open connections are reset, new ones
  // refused.
  void setMode(Mode way);
  void delay(Micros span) { delay_ = span; }
  void slow(std::size_t bytes_a_second) { rate_ = bytes_a_second; }  // 0: not slowed
  void resetAll();
  // Cuts what is open after so many more bytes have come back, in the middle of whatever they are.
  void cutAfter(std::size_t bytes) { cut_after_ = bytes; }
  std::uint64_t connections() const { return made_; }

 private:
  struct Pair;
  void accept();
  void bind();
  bool passes(bool there) const {
    return way_ == Mode::forwarding || way_ == (there ? Mode::cut_back : Mode::cut_there);
  }
  boost::asio::io_context& io_;
  std::string target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  Mode way_ = Mode::forwarding;
  Micros delay_ = 0;
  std::size_t rate_ = 0, cut_after_ = SIZE_MAX;
  std::uint64_t made_ = 0;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace grademux::harness
