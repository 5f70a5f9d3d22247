// grademux model: one run of a world: partners, senders, clients and troubles in virtual time, on one thread.
// The same world, seed and policy give the same figures to the last digit.
#pragma once

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../src/knowledge/learned_state_file.h"
#include "checker.h"
#include "clock.h"
#include "ledger.h"
#include "partner.h"
#include "policies.h"
#include "random.h"
#include "world.h"

namespace grademux::model {

using nlohmann::json;

// A run begins at this moment: what is 0 or less means "unknown" to some who read times.
constexpr Micros kBegin = 1'000'000'000;

struct ListedEndpoint {
  std::string name;
  std::size_t partner = 0;
  EndpointState state = EndpointState::ready;
  int open = 0;  // connections that it holds, of all senders
  bool there = true;
};

// What a client handed in, over all its tries.
struct Submission {
  std::size_t cls = 0, partner = 0;
  int sender = 0, tries = 0;
  Micros born = 0, give_up_at = 0, ended = 0;
  Parts parts{};
  Micros since = 0;  // what passed before has its part
  bool over = false;
  Cause how = Cause::count;
};

class Fleet;

// A sender by the rules of a turn as the real host has them: events, decide(), refusals, one record, then the
// answers and the calls. What its journal keeps outlasts it.
class Node {
 public:
  Node(Fleet& fleet, int index, std::uint64_t seed);

  static constexpr Micros kLinger = 3'400'000;  // from SIGTERM to the end at the latest

  bool up() const { return up_; }
  void start();
  void die();
  void stop();  // as at SIGTERM; it dies once nothing is under way
  // False: nobody is there, the client comes again.
  bool submit(std::size_t submission);
  void hear(const std::vector<Endpoint>& entries);  // a change of the list
  void partnerChanged(std::size_t partner);         // for the clocks of its held messages
  void cutIdle();                                   // all of its kept connections died unseen

 private:
  struct Attempt {
    std::string endpoint;
    Micros sent = 0;
    bool out = true, never_ran = false;
    std::uint64_t call = 0;
  };
  struct Held {
    std::size_t submission = 0;
    std::uint64_t order = 0;  // in which it was handed in here
    bool accepted = false;
    std::vector<Attempt> attempts;
    int out = 0;
    Parts at_hold{};  // the clocks when it began to be held
  };
  struct Call {
    std::string id;
    int attempt = 0;
    std::size_t endpoint = 0;
    Micros sent = 0;
    bool heard = false;  // it met an outage
    bool on_way = true;
    AttemptPacing pacing = AttemptPacing::rate_limit;
  };
  struct Idle {
    Micros since = 0;
    bool dead = false;
  };

  void add(Event e);
  void turn();
  void carryOut(const std::vector<Action>& actions);
  void end(const std::string& id, bool handed_back, Micros pause);
  void call(const StartAttempt& s);
  void reach(std::uint64_t call);
  void outcome(std::uint64_t call, AttemptResult r, Micros wait = 0, bool stale = false);
  void settle(Held& h, bool begins);
  void arrived(Call& c);
  void keepConnection(std::size_t endpoint);
  void expireIdle(std::size_t endpoint);
  void wakeIn(Micros span);
  void survey();
  HoldClock& clockOf(std::size_t partner);
  Cause stateOf(std::size_t partner);
  Micros full();
  void slots(int change);

  Fleet& fleet_;
  const int index_;
  Stream random_;
  std::uint64_t next_order_ = 0;
  std::uint64_t life_ = 0;  // of its processes; what is of an earlier one is not heard
  bool up_ = false, stopping_ = false;
  std::unique_ptr<Policy> policy_;
  std::vector<Event> events_;
  bool turn_due_ = false;
  Micros last_turn_ = INT64_MIN / 4;
  std::unordered_map<std::string, Held> held_;
  std::vector<std::string> fresh_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::map<std::size_t, std::deque<Idle>> idle_;
  std::map<std::string, Endpoint> list_;  // as it was last told
  std::map<std::size_t, Micros> waits_;   // told
  // Kept over restarts.
  std::vector<std::pair<std::string, Held>> journal_;
  std::map<std::pair<std::int64_t, std::string>, DestinationHealth> ailments_;
  std::map<std::string, OrderingKeyBlocked> ordering_blocks_;
  knowledge::LearnedStateFile book_, learning_;
  std::map<std::size_t, HoldClock> clocks_;
  int out_ = 0;
  Micros full_ = 0, full_since_ = -1;
};

struct Choice {
  const PolicySpec* policy = nullptr;
  std::uint64_t seed = 1;
  std::shared_ptr<const Tuning> tuning;
};

class Fleet : public Truth {
 public:
  Fleet(World world, Choice choice);
  // Plays it to its end and gives its figures.
  json play();

  bool takes(std::int64_t partner, Micros now) const override;
  void taking(std::int64_t partner, Micros now) override;

  const World world;
  const Choice choice;
  Settings settings;  // of one sender
  Clock clock;
  Checker checker;
  Ledger ledger;
  std::vector<std::unique_ptr<Partner>> partners;
  std::vector<ListedEndpoint> endpoints;
  std::unordered_map<std::string, std::size_t> endpoint_of;
  std::deque<Submission> submissions;
  double common_slow = 1;

  Micros now() const { return clock.now(); }
  // From senders: a client's submission has ended, or was not taken on.
  void over(std::size_t submission, bool delivered, Cause how);
  // `until`: it may come again up to then, since it may have taken effect.
  void refused(std::size_t submission, Micros pause, Micros until);
  void unheard(std::size_t submission);  // nobody was there, or died before it answered
  Micros wayTo();                        // one way between a sender and a partner
  // A call sets out, and is there or lost.
  void leaves(std::size_t partner) {
    announced_[partner] = std::max(0, announced_[partner] - 1);
    ++on_way_[partner];
  }
  void arrived(std::size_t partner) { --on_way_[partner]; }
  Micros serviceOf(std::size_t cls);
  void partnerLearned(std::size_t partner, int sender) { partners[partner]->learned(sender); }
  std::uint64_t calls = 0, refusals = 0, handshakes = 0;
  std::map<AttemptPacing, std::uint64_t> cold_calls;  // calls that reached a partner in slow start

 private:
  void drawPartners();
  void drawTraffic();
  void nextMessage();
  void nextClump();
  void drawTroubles();
  void handIn(std::size_t submission);
  void arrive(std::size_t partner, Micros at);
  void again(std::size_t submission, Micros in);
  void begin(const Trouble& t);
  std::set<std::size_t> struck(const Trouble& t, double part);
  void tellAll(const std::vector<Endpoint>& entries);
  Endpoint told(std::size_t endpoint) const;
  json figures();

  Stream clients_, network_, troubles_, services_;
  std::vector<double> traffic_, to_;            // a partner's share; cumulated
  double gap_ = 0, clump_gap_ = 0, clump_ = 0;  // microseconds between messages, clumps; seconds in one
  std::vector<double> listed_;                  // its rate, as the list tells it
  std::vector<double> client_share_;            // cumulated, by sender
  std::vector<double> class_share_;             // cumulated
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<int> on_way_, announced_;  // calls to each partner; what is decided in this turn
  std::uint64_t seed_;
};

}  // namespace grademux::model
