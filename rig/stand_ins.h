// grademux rig: stand-ins of what the sender talks to: endpoints with limits, pace, outages and spoilt
// answers, and discovery with its watch and notices. Each lives on one io_context.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <vector>

#include "http_stand_in.h"
#include "ledger.h"

namespace grademux::rig {

struct Behaviour {
  Micros service = 2000, spread = 0;  // an answer takes service to service + spread
  double rate = 0;                    // calls a second that it takes, in spans of 1 s; 0: no limit
  double fail = 0, spoil = 0;         // shares of calls: 500, an answer cut in its middle
  bool silent = false, shut = false;  // takes calls and answers none; answers 503
  bool open_to_all = false;           // answers for messages that the ledger doesn't know, too
};

class Endpoint {
 public:
  Endpoint(boost::asio::io_context& io, Ledger& ledger, std::string name, std::int64_t destination,
           Behaviour b, std::uint64_t seed, const std::string& host = "127.0.0.1", int port = 0);
  std::string address() const { return server_.address(); }
  json listed(const char* status = "Ready") const;
  // On its io_context alone:
  Behaviour behaviour;
  void drainedAt(Micros at) { drained_at_ = at; }
  void refuse(bool on) { server_.refuse(on); }
  std::uint64_t calls() const { return calls_; }

 private:
  void call(Request r, HttpStandIn::Respond respond);
  boost::asio::io_context& io_;
  Ledger& ledger_;
  std::string name_;
  std::int64_t destination_;
  std::mt19937_64 random_;
  Micros drained_at_ = kNever, span_at_ = 0;
  double taken_ = 0;
  std::atomic<std::uint64_t> calls_{0};
  Record stranger_;
  HttpStandIn server_;
  static constexpr Micros kNever = INT64_MAX / 4;
};

class Discovery {
 public:
  using OnWritten = std::function<void(std::int64_t index)>;
  Discovery(boost::asio::io_context& io, Ledger& ledger);
  std::string address() const { return server_.address(); }
  // On its io_context: a new version, of the whole list or of what changed. `written` is called when it was
  // first written to the sender.
  void tell(json endpoints, bool whole, OnWritten written = nullptr);

 private:
  struct Watch {
    std::int64_t from;
    HttpStandIn::Respond respond;
    std::shared_ptr<boost::asio::steady_timer> hold;
  };
  void ask(Request r, HttpStandIn::Respond respond);
  void answer(std::int64_t from, const HttpStandIn::Respond& respond);
  boost::asio::io_context& io_;
  Ledger& ledger_;
  std::int64_t index_ = 1, whole_at_ = 0;
  std::map<std::string, json> all_;
  std::vector<std::pair<std::int64_t, json>> changes_;  // by version
  std::vector<Watch> watches_;
  OnWritten on_written_;
  HttpStandIn server_;
};

}  // namespace grademux::rig
