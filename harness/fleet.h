// grademux harness: a fleet: several sender processes, each with a world of its own (clients, endpoints,
// discovery), before one store with several nodes, every pair joined by a link. Faults are set between the
// processes, in them (SIGKILL, SIGSTOP) and in their files; what endpoints, clients and the store saw is held
// against the invariants of docs/design/fleet.md by code that the sender does not have.
#pragma once

#include <map>

#include "store_stand_in.h"
#include "test_environment.h"

namespace grademux::harness {

struct FleetConfig {
  int senders = 4;
  std::size_t nodes = 3;
  Micros lease = 2'000'000;  // of the first plan
  bool strict = true;
  double rate = 40;   // messages a second to each sender
  int zones = 1;      // each destination has an endpoint in each; one endpoint's callers share what it bears
  double bears = 2;   // when warm, of an even part of all that is sent
  bool judge = true;  // senders leave zones and come back by what they see
  std::string regions;  // tables of the daemon file
};

// What is known of one sender, from outside of it.
struct StoreOutage {  // in which it could not hear of the store
  Micros from = 0, to = 0;
};
struct ObservedCall {  // as an endpoint saw it
  Micros at = 0;
  std::size_t endpoint = 0;
  std::int64_t plan = -1, version = 0;  // that the call names; -1: it names none
  std::string zone;
};

class Fleet {
 public:
  Fleet(const std::string& program, std::uint64_t seed, FleetConfig shape);
  ~Fleet();

  std::size_t size() const { return worlds_.size(); }
  TestEnvironment& world(std::size_t i) { return *worlds_[i]; }
  StoreStandIn& store() { return *store_; }
  // On the thread of store and links, until it is done.
  void onStore(const std::function<void()>& f);
  FaultProxy& storeLink(std::size_t sender, std::size_t node) { return *links_[sender][node]; }

  void start(std::size_t i);
  void startAll();
  // Clients of all senders, on threads of their own, until stopLoad().
  void beginLoad();
  void stopLoad();

  void cutStore(std::size_t i, FaultProxy::Mode way);  // whole: healed
  void stop(std::size_t i);                            // SIGSTOP
  void go(std::size_t i);
  void kill(std::size_t i);
  void restart(std::size_t i, const std::string& program = "");
  // Once, at the nth request from now on that this sender, or a command, makes of the store: when it has come
  // (`before`) or was carried out, and before its answer. `then` runs on the store's thread, with the node.
  static constexpr std::size_t kCommand = SIZE_MAX;
  void trap(std::size_t who, int nth, bool before, std::function<void(std::size_t node)> then);
  bool sprung() const { return sprung_; }
  void untrap();
  void killCommand();               // from a trap: SIGKILL to the command that runs
  void killNow(std::size_t i);      // from a trap; kill() has to follow
  void nodeDown(std::size_t node);  // from a trap: its answer is not heard
  // The trouble of a zone, as the senders that are named meet it; without names all.
  enum class ZoneFault { none, silent, refuses, errors };
  void zone(const std::string& name, ZoneFault t, const std::vector<std::size_t>& senders = {});
  // It was away and is cold, though no sender has met that.
  void cold(const std::string& name);
  json zoneState(const std::string& name) const;  // in the plan; null: in
  // As each plan had it, in the order in which the store took them, with the moment.
  std::vector<std::pair<Micros, json>> plansTaken() const;
  double bears() const;               // calls a second that an endpoint takes when warm
  std::pair<double, double> worth();  // asked for and got, of all messages
  std::size_t callsInto(const std::string& zone, std::size_t sender, Micros since);

  // Settings of all senders' files; a plan asks for what digestOf() says of them.
  void setAim(double aim_ms);
  std::string settingsDigest(std::size_t i = 0);

  // The program's own commands, as processes.
  struct Said {
    int status = -1;
    std::string text;
  };
  Said command(std::vector<std::string> words);
  Said word(std::vector<std::string> words);           // with the options that name the store
  Said insist(const std::vector<std::string>& words);  // again where a sender's verdict came before it
  Said propose(std::vector<std::string> words);        // fleet plan propose --why ...
  std::vector<std::string> storeAt() const;            // the options that name the store

  // The plan in the store; number 0: none.
  std::int64_t planNumber() const;
  json report(std::size_t i) const;  // as the sender wrote it; null: never
  bool eventually(const std::function<bool()>& holds, Micros most = 30'000'000) const;
  bool allAt(std::int64_t plan);  // each sender reports that it has taken it over

  // Ends all and holds what was seen against the invariants.
  json finish();
  std::vector<ObservedCall> calls(std::size_t i);

 private:
  struct Plan {
    Micros at = 0, binds = 0;
    std::int64_t number = 0;
    bool strict = false;  // and binds everybody
  };
  std::vector<Plan> plans() const;
  void holdAgainst(std::size_t i, json& f);
  void heldZones(std::size_t i, json& f);
  std::int64_t earlyStages() const;
  void heldTrail(std::size_t i, const std::vector<ObservedCall>& calls, json& f);

  std::string program_;
  FleetConfig shape_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::unique_ptr<StoreStandIn> store_;
  std::vector<std::vector<std::unique_ptr<FaultProxy>>> links_;  // of each sender to each node
  std::thread thread_;
  std::vector<std::unique_ptr<TestEnvironment>> worlds_;
  std::vector<std::thread> load_;
  std::atomic<bool> loading_{false};
  std::mutex mutex_;
  std::vector<std::vector<ObservedCall>> calls_;
  std::vector<std::vector<StoreOutage>> deaf_;  // of each sender, in which it could not hear of the store
  std::vector<bool> killed_;
  std::vector<std::vector<Micros>> went_;                     // when each went on after it had been stopped
  std::vector<std::shared_ptr<DestinationState>> standings_;  // by endpoint, with zones
  std::atomic<bool> sprung_{false};
  std::atomic<pid_t> command_{0};
};

// `grademux_harness fleet audit`, see fleet_audit.cpp; `cost` and `play`, see fleet_cost.cpp; `crowd`, see
// fleet_crowd.cpp.
struct Options;
json fleetAudit(const Options& o);
json fleetCost(const Options& o);
json fleetCrowd(const Options& o);
json fleetPlay(const Options& o);
// Zones, and with `regions` whole regions, that fail and return; see fleet_zone.cpp.
json fleetZone(const Options& o, bool regions);

}  // namespace grademux::harness
