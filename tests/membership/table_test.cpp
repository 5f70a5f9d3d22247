// The table of partners of several sources: the owner of each partner and the changes that the core receives.
#include "../../src/membership/table.h"

#include <gtest/gtest.h>

#include <random>

namespace grademux {
namespace {

Partner partner(const std::string& name, std::vector<std::string> endpoints,
                const std::string& formerly = "") {
  Partner p;
  p.name = name;
  p.formerly = formerly;
  p.number = numberOfName(p.base());
  p.endpoints = std::move(endpoints);
  return p;
}
std::string at(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// "+id" for a listed endpoint, "~id" for a draining one, "-id" for a removed one.
std::string describe(const PartnerTable::Change& c) {
  std::string all;
  for (const EndpointChange& e : c.entries) {
    const EndpointState s = e.entry.endpoint.state;
    all += (all.empty() ? "" : " ") +
           std::string(s == EndpointState::gone       ? "-"
                       : s == EndpointState::draining ? "~"
                                                      : "+") +
           e.entry.endpoint.id;
  }
  return all;
}
std::string conflicts(const PartnerTable::Change& c) {
  std::string all;
  for (const auto& x : c.conflicts)
    all += (all.empty() ? "" : " ") + x.partner + "/" + x.unit + "/" + x.endpoint + "/" + x.owner;
  return all;
}

TEST(PartnerTable, ReturnsTheChangesOfAUnit) {
  PartnerTable t;
  t.declare("a", {partner("shop", {at(1), at(2)}), partner("bank", {at(3)})});
  EXPECT_EQ(describe(t.takeChanges()), "+bank@127.0.0.1:3 +shop@127.0.0.1:1 +shop@127.0.0.1:2");
  EXPECT_EQ(describe(t.takeChanges()), "");
  Partner drains = partner("shop", {at(1), at(2)});
  drains.draining = {at(2)};
  t.declare("a", {drains, partner("bank", {at(3)})});
  EXPECT_EQ(describe(t.takeChanges()), "~shop@127.0.0.1:2");
  t.declare("a", {partner("bank", {at(3)})});
  EXPECT_EQ(describe(t.takeChanges()), "-shop@127.0.0.1:1 -shop@127.0.0.1:2");
  EXPECT_EQ(t.find("shop"), nullptr);
  EXPECT_EQ(t.partners(), 1u);
  EXPECT_EQ(t.endpoints(), 1u);
}

// Guards against an endpoint staying in its first zone, in the fleet and after a restart.
TEST(PartnerTable, UsesTheEndpointsZoneOrThePartnersAndStoresIt) {
  PartnerTable t;
  Partner shop = partner("shop", {at(1), at(2)});
  shop.zone = "a";
  shop.zones[at(2)] = "b";
  t.declare("u", {shop});
  const auto first = t.takeChanges();
  ASSERT_EQ(2u, first.entries.size());
  EXPECT_EQ("a", first.entries[0].entry.endpoint.zone);
  EXPECT_EQ("b", first.entries[1].entry.endpoint.zone);
  StoredEntry stored;
  ASSERT_TRUE(parseStoredEntry(first.entries[1].text, stored));
  EXPECT_EQ("b", stored.zone);
  shop.zones[at(1)] = "c";
  t.declare("u", {shop});
  const auto moved = t.takeChanges();
  ASSERT_EQ(1u, moved.entries.size());
  EXPECT_EQ("c", moved.entries[0].entry.endpoint.zone);
}

// Guards against a partner, and its messages, being lost for a moment when it moves from one file to another.
TEST(PartnerTable, NeverRemovesAPartnerThatMovesBetweenFiles) {
  for (const bool new_first : {true, false}) {
    PartnerTable t;
    t.declare("a", {partner("shop", {at(1)})});
    t.takeChanges();
    if (new_first) {
      t.declare("b", {partner("shop", {at(1)})});
      const auto c = t.takeChanges();
      EXPECT_EQ(describe(c), "");
      EXPECT_EQ(conflicts(c), "shop/b//a");
      EXPECT_EQ(conflicts(t.takeChanges()), "");  // reported once
      t.declare("a", {});
    } else {
      t.declare("a", {});
      t.declare("b", {partner("shop", {at(1)})});
    }
    for (const EndpointChange& e : t.takeChanges().entries)
      EXPECT_EQ(e.entry.endpoint.state, EndpointState::ready) << e.entry.endpoint.id;
    EXPECT_TRUE(t.find("shop"));
  }
}

TEST(PartnerTable, KeepsNumberAndEndpointsOfARenamedPartner) {
  PartnerTable t;
  t.declare("a", {partner("shop", {at(1)})});
  t.takeChanges();
  const std::int64_t number = t.find("shop")->number;
  t.declare("a", {partner("print-shop", {at(1)}, "shop")});
  const auto c = t.takeChanges();
  EXPECT_EQ(describe(c), "");
  ASSERT_TRUE(t.find("print-shop"));
  EXPECT_EQ(t.find("print-shop")->number, number);
  EXPECT_EQ(t.find("shop"), t.find("print-shop"));  // clients may still use the former name
  t.declare("a", {partner("print-shop", {at(1), at(2)}, "shop")});
  EXPECT_EQ(describe(t.takeChanges()), "+shop@127.0.0.1:2");
}

TEST(PartnerTable, ReportsNoConflictWhenAPartnerIsSplitInTwo) {
  PartnerTable t;
  t.declare("a", {partner("z", {at(1), at(2)})});
  t.takeChanges();
  t.declare("a", {partner("z", {at(1)}), partner("b", {at(2)})});
  const auto c = t.takeChanges();
  EXPECT_EQ(conflicts(c), "");
  EXPECT_EQ(describe(c), "+b@127.0.0.1:2 -z@127.0.0.1:2");
}

TEST(PartnerTable, ListsASharedEndpointForItsFirstPartnerUntilReleased) {
  PartnerTable t;
  t.declare("a", {partner("shop", {at(1)})});
  t.takeChanges();
  t.declare("b", {partner("bank", {at(1), at(2)})});
  const auto c = t.takeChanges();
  EXPECT_EQ(describe(c), "+bank@127.0.0.1:2");
  EXPECT_EQ(conflicts(c), "bank/b/127.0.0.1:1/shop");
  t.declare("a", {partner("shop", {at(5)})});
  EXPECT_EQ(describe(t.takeChanges()), "+bank@127.0.0.1:1 -shop@127.0.0.1:1 +shop@127.0.0.1:5");
  t.declare("a", {partner("shop", {at(1), at(5)})});  // the owner is the other partner now: a new conflict
  EXPECT_EQ(conflicts(t.takeChanges()), "shop/a/127.0.0.1:1/bank");
}

TEST(PartnerTable, GivesAReleasedNumberToTheNextClaimant) {
  PartnerTable t;
  Partner one = partner("z", {at(1)}), other = partner("a", {at(2)});
  one.number = other.number = 7;
  t.declare("a", {one});
  t.takeChanges();
  t.declare("b", {other});
  const auto c = t.takeChanges();
  EXPECT_EQ(describe(c), "");
  EXPECT_EQ(conflicts(c), "a/b//z");
  one.rate = 5;  // the owner keeps its number when it changes
  t.declare("a", {one});
  EXPECT_EQ(describe(t.takeChanges()), "+z@127.0.0.1:1");
  t.declare("a", {});
  EXPECT_EQ(describe(t.takeChanges()), "-z@127.0.0.1:1 +a@127.0.0.1:2");
}

TEST(PartnerTable, ParsesStoredEntries) {
  PartnerTable t;
  Partner p = partner("print-shop", {at(1)}, "shop");
  p.rate = 4.5;
  p.draining = {at(1)};
  t.declare("the file", {p});
  StoredEntry k;
  ASSERT_TRUE(parseStoredEntry(t.takeChanges().entries.at(0).text, k));
  EXPECT_EQ(k.unit, "the file");
  EXPECT_EQ(k.partner, "print-shop");
  EXPECT_EQ(k.formerly, "shop");
  EXPECT_EQ(k.address, at(1));
  EXPECT_EQ(k.number, p.number);
  EXPECT_EQ(k.rate, 4.5);
  EXPECT_TRUE(k.draining);
  EXPECT_FALSE(parseStoredEntry("{\"name\":\"x\"}", k));
  EXPECT_FALSE(parseStoredEntry("[1", k));
  EXPECT_FALSE(parseStoredEntry("{\"partner\":5,\"address\":\"127.0.0.1:1\"}", k));
}

// Random declarations of units: after each change, the core's endpoints must match the partners in force.
TEST(PartnerTable, KeepsTheCoreConsistentWithThePartnersInForceInAnyOrder) {
  std::mt19937_64 random(20261201);
  const auto draw = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
  PartnerTable t;
  std::map<std::string, ListedEndpoint> core;
  std::map<std::string, std::string> owner;  // owner by address, in the core
  std::map<std::string, std::vector<Partner>> declared;
  for (int step = 0; step < 4000; ++step) {
    const std::string unit = "u" + std::to_string(draw(4));
    std::vector<Partner> all;
    std::set<std::string> once;
    for (int i = draw(4); i > 0; --i) {
      const std::string name = "p" + std::to_string(draw(6));
      if (!once.insert(name).second)
        continue;
      std::set<std::string> endpoints;
      for (int n = 1 + draw(3); n > 0; --n)
        endpoints.insert(at(1 + draw(8)));
      all.push_back(partner(name, {endpoints.begin(), endpoints.end()}));
      if (draw(5) == 0)
        all.back().number = draw(3);
    }
    declared[unit] = all;
    t.declare(unit, all);
    if (draw(3) == 0)
      continue;  // several declarations in one change
    for (const EndpointChange& e : t.takeChanges().entries) {
      const std::string id = e.entry.endpoint.id;
      if (e.entry.endpoint.state == EndpointState::gone)
        ASSERT_EQ(core.erase(id), 1u) << step;
      else
        core[id] = e.entry;
    }
    std::map<std::string, std::string> addresses;
    std::map<std::int64_t, std::string> numbers;
    std::size_t count = 0;
    for (const auto& [id, e] : core) {
      const std::string name = id.substr(0, id.find('@'));
      ASSERT_TRUE(addresses.emplace(e.address, name).second) << step << ": two partners have " << e.address;
      const auto number = numbers.emplace(e.endpoint.destination, name);
      ASSERT_EQ(number.first->second, name) << step << ": two partners have one number";
      const Partner* p = t.find(name);
      ASSERT_TRUE(p) << step << " " << name;
      ASSERT_EQ(p->number, e.endpoint.destination);
      ASSERT_TRUE(std::count(p->endpoints.begin(), p->endpoints.end(), e.address));
      ++count;
    }
    ASSERT_EQ(count, t.endpoints());
    // No claimant waits for a free number or address: each declared partner is in force, or another partner
    // has its number; each of its addresses is listed, for this partner or another.
    for (const auto& [u, partners] : declared)
      for (const Partner& p : partners) {
        const Partner* f = t.find(p.name);
        if (!f) {
          ASSERT_TRUE(std::any_of(declared.begin(), declared.end(),
                                  [&](const auto& s) {
                                    return std::any_of(s.second.begin(), s.second.end(),
                                                       [&](const Partner& o) {
                                                         const Partner* in = t.find(o.name);
                                                         return o.name != p.name && in && in->number <= 2;
                                                       });
                                  }))
              << step << " " << p.name;
          continue;
        }
        for (const std::string& a : f->endpoints)
          ASSERT_TRUE(addresses.count(a)) << step << " " << a;
      }
  }
}

}  // namespace
}  // namespace grademux
