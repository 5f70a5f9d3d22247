// The list of endpoints: what an answer changes, and in which slices the core hears of it.
#include "../../src/core/endpoint_list.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace grademux {
namespace {

json entry(const std::string& name, std::int64_t destination, const char* status = "Ready",
           const std::string& address = "127.0.0.1:1") {
  return {{"name", name},         {"address", address}, {"zone", "a"},   {"type", "p"},
          {"group", destination}, {"status", status},   {"weight", 1.0}, {"since_ms", 5}};
}
EndpointListAnswer answer(std::int64_t index, bool whole, json entries) {
  return parseEndpointList({{"index", index}, {"snapshot", whole}, {"endpoints", std::move(entries)}});
}
std::vector<std::string> names(const EndpointList::Slice& s) {
  std::vector<std::string> all;
  for (const EndpointChange& c : s.changes)
    all.push_back(c.entry.endpoint.id);
  return all;
}
using Names = std::vector<std::string>;

TEST(MembershipList, AWholeListTellsWhatHasChangedAlone) {
  EndpointList l;
  l.apply(answer(1, true, {entry("a", 1), entry("b", 1), entry("c", 2)}));
  EndpointList::Slice s = l.next(100);
  EXPECT_TRUE(s.whole);
  EXPECT_EQ(names(s), (Names{"a", "b", "c"}));
  EXPECT_FALSE(l.hasPending());
  json other = entry("b", 1);
  other["since_ms"] = 9;  // nothing that the core knows of
  l.apply(answer(2, true, {other, entry("c", 2, "Ready", "127.0.0.1:2"), entry("d", 3)}));
  s = l.next(100);
  EXPECT_FALSE(s.whole);
  EXPECT_EQ(names(s), (Names{"a", "c", "d"}));  // what must stop first
  EXPECT_EQ(s.changes[0].entry.endpoint.state, EndpointState::gone);
  EXPECT_EQ(s.changes[0].text, "");
  EXPECT_EQ(s.index, 2);
  EXPECT_TRUE(l.lists(1));
  l.apply(answer(3, false, {entry("b", 1, "Gone"), entry("x", 9, "Gone")}));
  s = l.next(100);
  EXPECT_EQ(names(s), Names{"b"});
  EXPECT_FALSE(l.lists(1));
  EXPECT_EQ(s.unlisted, std::vector<std::int64_t>{1});
}

// Risk: of a long list the core hears a drain last, or a version that it has not heard whole.
TEST(MembershipList, WhatMustStopComesInTheFirstSlice) {
  EndpointList l;
  json all = json::array(), next = json::array();
  for (int i = 0; i < 5000; ++i)
    all.push_back(entry("e" + std::to_string(i), i % 100));
  l.apply(answer(7, true, all));
  std::size_t heard = 0;
  for (int slices = 1; l.hasPending(); ++slices) {
    const EndpointList::Slice s = l.next(1000);
    EXPECT_LE(s.changes.size(), 1000u);
    heard += s.changes.size();
    EXPECT_EQ(s.index, slices < 5 ? -1 : 7);
  }
  EXPECT_EQ(heard, 5000u);
  for (int i = 0; i < 5000; ++i)
    next.push_back(entry("e" + std::to_string(i), i % 100, i % 50 ? "Ready" : "Terminating", "127.0.0.1:9"));
  l.apply(answer(8, true, next));
  const EndpointList::Slice s = l.next(1000);
  EXPECT_EQ(s.index, 7);
  for (std::size_t i = 0; i < 100; ++i)
    EXPECT_EQ(s.changes[i].entry.endpoint.state, EndpointState::draining) << i;
  // A drain that comes now passes all that waits, and the older entry is not heard after it.
  l.apply(answer(9, false, {entry("e4999", 99, "Terminating")}));
  const EndpointList::Slice t = l.next(1);
  EXPECT_EQ(names(t), Names{"e4999"});
  while (l.hasPending())
    for (const std::string& n : names(l.next(1000)))
      EXPECT_NE(n, "e4999");
  EXPECT_EQ(l.index(), 9);
}

// Random answers, heard in random slices: the core ends with what was listed last.
TEST(MembershipList, WhoeverHearsTheSlicesKnowsTheList) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    EndpointList l;
    std::map<std::string, json> truth;
    std::map<std::string, ListedEndpoint> heard;
    const char* words[] = {"Ready", "Terminating", "Gone"};
    const auto hear = [&](std::size_t most) {
      for (EndpointChange& c : l.next(most).changes) {
        if (c.entry.endpoint.state == EndpointState::gone)
          heard.erase(c.entry.endpoint.id);
        else
          heard[c.entry.endpoint.id] = c.entry;
      }
    };
    for (int step = 1; step <= 200; ++step) {
      json changes = json::array();
      const bool whole = random() % 7 == 0;
      if (whole)
        truth.clear();
      std::set<std::string> once;
      for (int i = static_cast<int>(random() % 12); i > 0; --i) {
        const std::string name = "e" + std::to_string(random() % 30);
        if (!once.insert(name).second)
          continue;
        const json e = entry(name, static_cast<std::int64_t>(random() % 5), words[random() % 3]);
        changes.push_back(e);
        if (e["status"] == "Gone")
          truth.erase(name);
        else
          truth[name] = e;
      }
      l.apply(answer(step, whole, changes));
      if (random() % 2)
        hear(random() % 9);
    }
    while (l.hasPending())
      hear(3);
    ASSERT_EQ(truth.size(), heard.size()) << "seed " << seed;
    for (const auto& [name, e] : truth) {
      ASSERT_TRUE(heard.count(name)) << "seed " << seed;
      const Endpoint& h = heard[name].endpoint;
      EXPECT_EQ(h.destination, e["group"].get<std::int64_t>()) << "seed " << seed;
      EXPECT_EQ(h.state == EndpointState::draining, e["status"] == "Terminating") << "seed " << seed;
      EXPECT_TRUE(l.lists(h.destination));
    }
  }
}

TEST(MembershipList, BadAnswersAreNamedAndChangeNothing) {
  const auto said = [](const json& j) -> std::string {
    try {
      parseEndpointList(j);
    } catch (const BadInput& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(said(json::array()), "");
  EXPECT_NE(said({{"snapshot", true}, {"endpoints", json::array()}}).find("index"), std::string::npos);
  EXPECT_NE(said({{"index", 1}}).find("endpoints"), std::string::npos);
  EXPECT_NE(said({{"index", 1}, {"endpoints", {5}}}).find("not an object"), std::string::npos);
  json odd = entry("a", 1, "Resting");
  EXPECT_NE(said({{"index", 1}, {"endpoints", {odd}}}).find("status"), std::string::npos);
}

}  // namespace
}  // namespace grademux
