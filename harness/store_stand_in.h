// grademux harness: a stand-in for the store of a fleet's plan, after the published description of Consul's
// HTTP interface: KV with compare-and-swap and acquire, sessions with a time to live, blocking reads by
// index, an index that may go back. Several nodes answer from one state; one may lag where a read allows it.
#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "http_stand_in.h"

namespace grademux::harness {

using nlohmann::json;

class StoreStandIn {
 public:
  // A change of a key that was made, and when, on the monotonic clock of the rig.
  struct Change {
    Micros at = 0;
    std::string key, value;
  };
  StoreStandIn(boost::asio::io_context& io, std::size_t nodes);
  std::vector<std::string> addresses() const;

  // All on its io_context.
  void node(std::size_t n, bool up);        // refuses, and resets what is open
  void late(Micros span) { late_ = span; }  // each answer comes so much later
  void lag(std::size_t n, bool on);         // answers reads that allow it from what was known then
  void forget();                            // all keys and sessions, and the index begins anew
  void rewind();                            // goes back to the state that mark() kept
  void mark() { marked_ = state_; }
  void expireAll() { dropSessions(true); }
  void full(bool on) { full_ = on; }  // no session is given
  // Called with each request, before and after it is carried out; used to kill who asked at any step.
  std::function<void(const Request&, bool before)> on_request;

  std::vector<Change> changes(const std::string& key) const;   // from any thread
  std::string value(const std::string& key) const;             // the same
  bool put(const std::string& key, const std::string& value);  // by hand
  std::uint64_t requests() const { return requests_; }
  std::uint64_t bytes() const { return bytes_; }  // of requests and answers' bodies

 private:
  struct Key {
    std::string value, session;
    std::int64_t created = 0, changed = 0;
  };
  struct Session {
    std::string name;
    Micros ttl = 0, until = 0;
  };
  struct State {
    std::map<std::string, Key> keys;
    std::map<std::string, Session> sessions;
    std::int64_t index = 1;
  };
  struct Waiting {
    std::string key;
    bool below = false;
    std::int64_t index = 0;
    HttpStandIn::Respond respond;
    std::shared_ptr<boost::asio::steady_timer> hold;
  };
  void ask(std::size_t node, Request r, HttpStandIn::Respond respond);
  std::string carryOut(std::size_t node, const Request& r, const HttpStandIn::Respond& respond);
  std::string read(const State& s, const std::string& key, bool below) const;
  std::int64_t indexOf(const State& s, const std::string& key, bool below) const;
  void set(const std::string& key, const std::string& value, const std::string& session);
  void release(const std::string& session);
  void dropSessions(bool all);
  void wake();
  void reply(const HttpStandIn::Respond& respond, const std::string& bytes);
  std::string answer(const std::string& status, const std::string& body, std::int64_t index = 0) const;

  boost::asio::io_context& io_;
  mutable std::mutex mutex_;  // of what other threads look at
  State state_, marked_;
  std::map<std::size_t, State> lagging_;
  std::vector<Change> changes_;
  std::vector<Waiting> waiting_;
  std::int64_t next_session_ = 0;
  Micros late_ = 0;
  bool full_ = false;
  std::atomic<std::uint64_t> requests_{0}, bytes_{0};
  boost::asio::steady_timer sweeper_;
  std::vector<std::unique_ptr<HttpStandIn>> nodes_;
};

}  // namespace grademux::harness
