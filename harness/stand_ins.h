// grademux harness: stand-ins of what the sender talks to: endpoints with limits, pace, outages and spoilt
// answers, and discovery with its watch and notices. Each lives on one io_context.
#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

#include "delivery_checker.h"
#include "http_stand_in.h"

namespace grademux::harness {

struct EndpointBehaviour {
  Micros service = 2000, spread = 0;  // an answer takes service to service + spread
  double rate = 0;                    // calls a second that it takes, in spans of 1 s; 0: no limit
  double listed = 1000;               // calls a second that the list tells
  double fail = 0, spoil = 0;         // shares of calls: 500, an answer cut in its middle
  bool silent = false, shut = false;  // takes calls and answers none; answers 503
  bool answers_at_end = false;        // answers once the caller has ended its connection: the two cross
  bool open_to_all = false;           // answers for messages that the ledger doesn't know, too
  // The share of 200s of which a second copy follows late on the connection. A call that comes before the
  // copy is not executed and is answered 503.
  double late_copies = 0;
  LateCopy::Trigger copy_trigger = LateCopy::Trigger::answer;
  Micros longest_copy_delay = 10'000;
};

// What the endpoints of one destination share: what it takes of all callers together, a wait that it tells,
// and whether it is pushed over when it is back from an outage. Several senders, each with a world of its
// own, may share one; its other figures are set while nobody calls.
struct DestinationState {
  double rate = 0;                             // calls a second that it takes when warm
  std::atomic<Micros> shut_until{0};           // until then it tells callers to wait
  std::atomic<Micros> returned{-(1LL << 60)};  // cold from then on
  double cold_share = 0.29, factor = 1.5;
  Micros ramp = 11'000'000, fall_span = 2'000'000;
  std::atomic<std::uint64_t> fell_over{0}, waits_broken{0};
  double peak_budget_used = 0;  // largest part of the slow start budget; read once nobody calls any more

  // Takes a call, or tells what it answers instead; and holds it against the rules. A wait binds the sender
  // that was told.
  std::string answerTo(const void* sender, Micros first_byte, Micros now);
  // What an answer tells of the limit; that it is cold it does not tell.
  std::string pressure();

 private:
  double share(Micros at) const;
  struct Told {
    Micros at = 0, until = 0;
  };
  std::mutex mutex_;
  std::deque<Micros> calls_;  // of the last fall_span
  std::map<const void*, Told> told_;
  Micros span_at_ = 0;
  double taken_ = 0;
  bool fallen_ = false;
};

class EndpointStandIn {
 public:
  EndpointStandIn(boost::asio::io_context& io, DeliveryChecker& ledger, std::string name,
                  std::int64_t destination, EndpointBehaviour b, std::uint64_t seed,
                  const std::string& host = "127.0.0.1", int port = 0);
  std::string address() const { return server_.address(); }
  json listed(const char* status = "Ready") const;
  void at(std::string address) { listed_at_ = std::move(address); }  // the list names it in place of its own
  // On its io_context alone:
  EndpointBehaviour behaviour;
  std::string zone = "a";  // that the list names
  void drainedAt(Micros at) { drained_at_ = at; }
  void shares(std::shared_ptr<DestinationState> s) { standing_ = std::move(s); }
  void refuse(bool on) { server_.refuse(on); }
  // Sees each call that comes in.
  std::function<void(const Request&)> on_call;
  std::uint64_t calls() const { return calls_; }
  std::uint64_t crossedCalls() const { return crossed_calls_; }  // a copy came after them
  std::size_t connections() const { return server_.connections(); }

 private:
  void call(Request r, HttpStandIn::Respond respond);
  void rejectCrossedCall(HttpStandIn::Respond respond);
  std::optional<LateCopy> drawLateCopy();
  boost::asio::io_context& io_;
  DeliveryChecker& ledger_;
  std::string name_, listed_at_;
  std::int64_t destination_;
  std::mt19937_64 random_;
  Micros drained_at_ = kNever, span_at_ = 0;
  double taken_ = 0;
  std::atomic<std::uint64_t> calls_{0}, crossed_calls_{0};
  Record stranger_;
  std::vector<std::function<void()>> crossing_answers_;  // of calls that wait for the end of their connection
  std::shared_ptr<DestinationState> standing_;
  HttpStandIn server_;
  static constexpr Micros kNever = INT64_MAX / 4;
};

class DiscoveryStandIn {
 public:
  using OnWritten = std::function<void(std::int64_t index)>;
  DiscoveryStandIn(boost::asio::io_context& io, DeliveryChecker& ledger);
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
  DeliveryChecker& ledger_;
  std::int64_t index_ = 1, whole_at_ = 0;
  std::map<std::string, json> all_;
  std::vector<std::pair<std::int64_t, json>> changes_;  // by version
  std::vector<Watch> watches_;
  OnWritten on_written_;
  HttpStandIn server_;
};

}  // namespace grademux::harness
