// grademux model: the six rules, held against what a sender was told and what it did. It shares no code with
// the decision module and asks nothing of it: it sees submissions, ends, sends, outcomes and lists alone.
#pragma once

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "grademux/settings.h"

namespace grademux::model {

enum class Rule { lost, effect_twice, drain, pushed_over, order, wait, count };
constexpr std::size_t kRules = static_cast<std::size_t>(Rule::count);
const char* nameOf(Rule r);

class Checker {
 public:
  explicit Checker(const Settings& s) : set_(s) {}

  // ---- what one sender took on; an id is one message's life at one sender
  void accepted(const std::string& id, int sender, const MessageClass& c, std::int64_t partner,
                const std::string& order_key, Micros give_up_at);
  void sent(const std::string& id, int sender, const std::string& endpoint, Micros now);
  // The attempt's outcome as the sender heard it, or that its process died with it out.
  void outcome(const std::string& id, int sender, int attempt, bool may_have_run, bool ran_for_sure,
               Micros now);
  // An end: delivered, failed (not safe to come again), or handed back (said to be safe).
  void ended(const std::string& id, bool handed_back, bool delivered, Micros now);
  void senderDied(int sender, Micros now);
  // It is there again: what ran out of time meanwhile may end now.
  void senderBack(int sender, Micros now);
  // ---- what it was told
  void leaves(int sender, const std::string& endpoint, Micros now);  // it drains or is gone
  void listed(int sender, const std::string& endpoint);              // it is ready
  void toldToWait(int sender, std::int64_t partner, Micros now, Micros until);
  // ---- what partners saw
  void ran(const std::string& message, const MessageClass& c, Micros now);  // of the client's message
  void pushedOver(std::int64_t partner, double share_that_knew, Micros now);
  // ---- at the end of a run: what was taken on and never ended is lost
  void finish(Micros now);

  struct Break {
    Rule rule;
    std::string what;
    Micros at;
  };
  std::array<std::uint64_t, kRules> broken{};
  std::vector<Break> first;  // some of each rule
  std::uint64_t total() const;

 private:
  struct Try {
    std::string endpoint;
    Micros sent = 0;
    bool out = true, may_have_run = true;
  };
  struct Life {
    const MessageClass* cls = nullptr;
    std::int64_t partner = 0;
    int sender = 0;
    std::string key;
    Micros give_up_at = 0;
    std::uint64_t order = 0;
    std::vector<Try> tries;
    bool ended = false;
  };
  struct KeyLine {
    std::map<std::uint64_t, std::string> open;  // by the order of arrival
    Micros quiet_until = 0;
  };
  struct Wait {
    Micros told = 0, until = 0;
  };
  void tell(Rule rule, const std::string& what, Micros now);
  void forget(const std::string& id);

  const Settings& set_;
  std::unordered_map<std::string, Life> lives_;
  std::map<std::pair<int, std::string>, Micros> left_;  // since when a sender knows that it leaves
  std::map<std::pair<int, std::int64_t>, Wait> waits_;
  std::map<std::pair<int, std::string>, KeyLine> keys_;
  struct Ran {
    int times = 0;
    Micros at = 0;
  };
  std::unordered_map<std::string, Ran> ran_;
  std::uint64_t next_ = 0;
};

}  // namespace grademux::model
