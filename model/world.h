// grademux model: what a world is, read from TOML. Figures are ranges where a run draws its own: a number, or
// [least, most]. Every mistake is told with its line and column, all of one file at once.
#pragma once

#include <string>
#include <vector>

#include "../src/config/toml_table.h"
#include "grademux/settings.h"

namespace grademux::model {

struct Range {
  double least = 0, most = 0;
};

struct PartnerKind {
  std::string name;
  double share = 1;              // of the partners
  bool window = false;           // its limit counts calls in spans of a second; else a plain rate
  Range headroom{1, 2};          // limit over its calls at full load
  Range least_rate{2, 5};        // calls a second that its limit is at the least
  Range spare{1.15, 1.6};        // capacity over limit
  Range depth{300'000, 1e6};     // microseconds of work that it queues
  Range tells_wait{0.5, 1};      // share of refusals that tell how long to wait
  Range wait{300'000, 800'000};  // microseconds, where it isn't until a span's end or until it opens
  bool refused_count = false;    // refused calls use up the limit
  double conns = 0;              // connections that an endpoint holds, over its calls at once; 0: any number
  int least_conns = 8;
};

struct ClassSpec {
  MessageClass rule;
  double share = 1;                 // of the messages
  Range service{150'000, 260'000};  // microseconds at a partner of usual pace
};

enum class TroubleKind {
  refuse,       // connections are refused
  hang,         // takes calls, answers none
  shut,         // answers `full`, with a wait until it opens
  slow,         // answers `size` times slower
  common_slow,  // all partners do
  cut,          // kept connections die unseen
  limit,        // the limit is `size` times what it was
  leave,        // endpoints drain and go, others take their place
  kill,         // senders die, and start again after `length`
  stop,         // the same, having finished what can be
};
const char* nameOf(TroubleKind kind);

struct Trouble {
  TroubleKind kind = TroubleKind::refuse;
  Micros at = -1;          // -1: drawn
  Range length{8e6, 2e7};  // microseconds
  Range part{0.05, 0.25};  // of the traffic, or of the senders
  Range size{2, 8};
  std::string partners;  // of this kind alone; empty: any
};

struct World {
  std::string name, path;
  Micros length = 0;
  std::uint64_t most_steps = 200'000'000;
  int senders = 0, partners = 0;
  double sender_skew = 0;   // 0: clients are spread evenly; 1: as 1/rank
  double endpoints = 1.5;   // a partner, in the mean, 1 to 4
  Range load{0.7, 0.9};     // of the limits of all partners together
  double rate = 0;          // messages a second
  Range zipf{0.8, 1.1};     // of the partners' traffic
  Range clumps{0.1, 0.25};  // share of the messages that come in clumps for one partner
  Range clump{1, 2.5};      // seconds of that partner's limit in one
  double slots_room = 2;    // slots over what full load keeps busy
  int least_slots = 4;
  double hold = 8;  // seconds of full load that a sender holds at most
  int least_open = 16;
  Range front{1'000, 4'000};    // microseconds between client and sender, one way
  Range way{500, 3'000};        // and between sender and partner
  int client_tries = 3;         // further ones after a refusal
  Range again{300'000, 2e6};    // microseconds until then, where no time was told
  double heed = 0.8;            // share of the clients that heed a told time
  Range notice{1e6, 5e6};       // microseconds until a sender hears of a change of the list
  bool keeps_knowledge = true;  // over restarts, beside the journal
  double listed_off = 0.5;      // listed rates are off by up to so much, either way; -1: none are listed
  Settings settings;            // the site's rules; classes, kinds and sizes are filled in from the rest
  std::vector<PartnerKind> kinds;
  std::vector<ClassSpec> classes;
  std::vector<Trouble> troubles;
};

struct Reading {
  World world;
  std::vector<Mistake> mistakes;
};
Reading readWorld(const std::string& path);
Reading readWorldText(const std::string& text, const std::string& path);

}  // namespace grademux::model
