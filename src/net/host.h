// grademux: the host of the decision module: hands it events in turns, carries out its actions, and has the
// journal written before what it promises. It owns no policy.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "clients.h"
#include "discovery.h"
#include "endpoints.h"
#include "journal.h"

namespace grademux {

class Host {
 public:
  Host(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
       Endpoints& endpoints, Notices& notices);

  // Takes over what the journal and the configuration know: before clients are served.
  void recover(const json& known);
  std::int64_t list(const json& answer);  // discovery's answer; gives the version to go on from
  std::int64_t version() const { return list_.index(); }
  void put(Clients::Put put, Clients::Reply reply);
  void outcome(Outcome o);
  void told(const std::string& id);  // a notice was answered
  void stopAt(Micros at);            // the process ends then, on the monotonic clock
  bool idle() const { return events_.empty() && held_.empty(); }

 private:
  struct Held {  // taken on and not over
    TakenOn message;
    int attempts = 0;
    Clients::Reply reply;  // not answered yet
  };
  void add(Event e);
  void turn();
  void carryOut(const std::vector<Action>& actions);
  void end(const std::string& id, bool handed_back, Micros pause);
  void wake();
  void takeList(const EndpointList::News& news);
  void over(const std::string& id);

  boost::asio::io_context& io_;
  Settings settings_;
  Sender sender_;
  Journal& journal_;
  Endpoints& endpoints_;
  Notices& notices_;
  EndpointList list_;
  std::map<std::string, Held> held_;
  std::set<std::string> fresh_;  // arrived since the last turn
  // Each destination, and since when it is listed no more (kListed: it is). It is known as long as a message
  // that was meant for it may last.
  std::map<std::int64_t, Micros> destinations_;
  Micros longest_ = 0;  // that a message may last
  // Ids of messages that are over, as long as one of them may come again, the oldest first.
  std::set<std::string> past_;
  std::deque<std::pair<Micros, std::string>> past_order_;
  std::vector<Event> events_;
  std::set<Micros> wakes_;
  boost::asio::steady_timer turn_timer_, wake_timer_;
  Micros last_turn_ = INT64_MIN / 4;
  bool turn_due_ = false;
};

}  // namespace grademux
