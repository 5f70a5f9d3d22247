// grademux: the host of the decision module: hands it events in turns, carries out its actions, and has the
// journal written before what it promises. It owns no policy.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../knowledge/book.h"
#include "../membership/list.h"
#include "journal.h"
#include "notices.h"
#include "right.h"
#include "settings.h"
#include "transport.h"

namespace grademux {

class Host : public Intake {
 public:
  // Sees each turn of the decision module, after it: the events, and what they were answered with.
  using Tap = std::function<void(Micros now, const std::vector<Event>&, const std::vector<Action>&)>;
  Host(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
       Transport& transport, EndNotices& notices);

  // Takes over what the journal, the configuration and an earlier process's book know, each as far as it is
  // still trusted: before clients are served.
  // `out`: attempts whose outcome is still to come from the earlier process.
  void recover(const json& known, const knowledge::Book& learned = {}, const std::set<CallId>& out = {});
  // This process decides no more: what waits has its last turn, and the journal is given up. What comes later
  // is refused, or kept for resume().
  void suspend();
  void resume();  // the journal was taken back
  bool suspended() const { return suspended_; }
  // Where the right to act can end; null: it can't. It outlives the host's turns.
  void bind(Right* right);
  // The right has ended: nothing new is taken on or called until open(). The module hears that all endpoints
  // drain, so that what is held waits, and ends as its class says.
  void close();
  void open();
  bool closed() const { return closed_; }
  // The right shows these endpoints otherwise than before.
  void reshow(const std::vector<std::string>& endpoints);
  // What the module has learned, in Unix time and with the addresses of endpoints, of `most` destinations
  // above `after`: in one of the next turns. One survey at a time.
  using Learned = std::function<void(std::vector<knowledge::Known>, const Surveyed&)>;
  void survey(std::int64_t after, int most, Learned then);
  // The same of all, at once: when the process ends.
  knowledge::Book learned();
  // Called when health or waits were given to be kept.
  void onAilment(std::function<void()> then) { on_ailment_ = std::move(then); }
  // An answer of the source of membership; gives the version to go on from. The module hears of a long one in
  // slices, one a turn, so that calls go on meanwhile.
  std::int64_t list(ListAnswer answer);
  std::int64_t version() const { return list_.index(); }
  bool listed() const { return list_.size() > 0; }  // any endpoint
  void submit(Submission s, Reply reply) override;
  Status status(const std::string& id) const override;
  void whenEnded(const std::string& id, std::function<void(const End&)> then) override;
  void outcome(Outcome o);
  // The endpoints with the same name here are bound by each other's waits: all of a destination, or one alone
  // where its kind has routes apart.
  std::string waitScope(const std::string& endpoint) const;
  void told(const std::string& id);  // a notice was answered
  void tap(Tap tap) { tap_ = std::move(tap); }
  // Other settings, which have been checked, hold for what is handed in from now on, and for all decisions;
  // messages that are open keep the class they came under.
  void retune(Settings settings);
  void stopAt(Micros at);  // the process ends then, on the monotonic clock
  bool idle() const { return events_.empty() && held_.empty(); }

 private:
  struct Held {  // taken on and not over
    TakenOn message;
    std::uint64_t digest = 0;
    int attempts = 0;
    std::vector<Reply> replies;  // not answered yet; several if it was handed in at several doors at once
    std::vector<std::function<void(const End&)>> watchers;
  };
  void add(Event e);
  void turn();
  void carryOut(const std::vector<Action>& actions);
  void end(const std::string& id, bool handed_back, Micros pause);
  void wake();
  void tellSurvey(const std::vector<Action>& actions);
  void recall(const knowledge::Book& learned, Micros ahead);
  knowledge::Known shown(const Lesson& lesson) const;
  void tellList(std::size_t most, ListKind kind);
  bool knowsDestination(std::int64_t destination) const;
  EndpointState shown(const Endpoint& e) const;
  bool mayBegin(const CallId& id, const Held& h, const std::string& endpoint);
  std::set<std::string> refuseFresh();
  void notSent(const std::string& id, int attempt);
  void over(const std::string& id, const End& end);
  void tellIfOrphaned(const TakenOn& m, const End& end) const;
  void announce();
  const Past* pastOf(const std::string& id) const;  // its end, told or not; null if it has none

  boost::asio::io_context& io_;
  Settings settings_;
  std::vector<ClassVersion> classes_;  // of these
  Sender sender_;
  Tap tap_;
  Learned surveyed_;
  std::function<void()> on_ailment_;
  Journal& journal_;
  Transport& transport_;
  EndNotices& notices_;
  MembershipList list_;
  bool telling_ = false;  // a slice waits for its turn
  std::unordered_map<std::string, Held> held_;
  std::set<std::string> fresh_;  // arrived since the last turn
  // Destinations that are listed no more, and since when: they are known as long as a message that was meant
  // for them may last. In the order of leaving, too; one that left again stands there twice.
  std::unordered_map<std::int64_t, Micros> left_;
  std::deque<std::pair<Micros, std::int64_t>> left_order_;
  Micros longest_ = 0;  // that a message may last
  // Ended since the last write: open to all outside until that is on record, then their watchers hear of it.
  struct Ended {
    End end;
    std::vector<std::function<void(const End&)>> watchers;
  };
  std::unordered_map<std::string, Ended> ended_;
  // Their notice is owed; what is remembered of them goes to the journal once it was told.
  std::unordered_map<std::string, Past> owed_;
  std::vector<Event> events_;
  std::set<Micros> wakes_;
  boost::asio::steady_timer turn_timer_, wake_timer_;
  Micros last_turn_ = INT64_MIN / 4;
  Right* right_ = nullptr;
  bool turn_due_ = false, suspended_ = false, closed_ = false;
};

}  // namespace grademux
