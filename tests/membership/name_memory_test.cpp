// The endpoints of a DNS name when answers change, shrink, fail, contain forbidden addresses or are partial.
#include "../../src/membership/name_memory.h"

#include <gtest/gtest.h>

namespace grademux {
namespace {

constexpr Micros kS = 1'000'000;
using DestinationKind = DnsRecords::Kind;
using All = std::vector<std::string>;

NameSpec host(const std::string& name = "shop.test", int port = 80) {
  NameSpec s;
  s.host = name;
  s.port = port;
  return s;
}
DnsRecords records(All addresses, Micros ttl = 10 * kS) {
  DnsRecords r;
  r.kind = DestinationKind::records;
  r.addresses = std::move(addresses);
  r.ttl = ttl;
  return r;
}
DnsRecords none(DestinationKind k) {
  DnsRecords r;
  r.kind = k;
  r.cause = "timed out";
  return r;
}
DnsAnswer answer(DnsRecords v4, DnsRecords v6 = records({})) {
  DnsAnswer a;
  a.targets.push_back({"shop.test", 80, 0, std::move(v4), std::move(v6)});
  return a;
}

TEST(NameMemory, AppliesAnswersAndTheirTtl) {
  NameMemory m(host(), {});
  EXPECT_EQ(m.nextDue(), 0);
  EXPECT_TRUE(m.onAnswer(answer(records({"10.0.0.2", "10.0.0.1"})), 5 * kS).changed);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.1:80", "10.0.0.2:80"}));
  EXPECT_EQ(m.nextQuery(), 15 * kS);
  EXPECT_FALSE(m.onAnswer(answer(records({"10.0.0.1", "10.0.0.2"})), 15 * kS).changed);
  EXPECT_TRUE(m.onAnswer(answer(records({"10.0.0.9"})), 20 * kS)
                  .changed);  // the whole list is replaced, down to one address
  EXPECT_EQ(m.endpoints(), All{"10.0.0.9:80"});
  m.onAnswer(answer(records({"10.0.0.9"}, 0)), 30 * kS);
  EXPECT_EQ(m.nextQuery(), 31 * kS);  // a TTL of 0 counts as one second
  m.onAnswer(answer(records({"10.0.0.9"}, 1000'000 * kS)), 40 * kS);
  EXPECT_EQ(m.nextQuery(), 40 * kS + 3600 * kS);
}

// Guards against a temporary failure of the name server removing a partner's endpoints.
TEST(NameMemory, KeepsEndpointsWhenAnswersAreUnusable) {
  NameMemory m(host(), {});
  m.onAnswer(answer(records({"10.0.0.1"})), 0);
  Micros now = 10 * kS, pause = 0;
  for (const DestinationKind k :
       {DestinationKind::no_name, DestinationKind::failed, DestinationKind::records, DestinationKind::no_name,
        DestinationKind::failed, DestinationKind::failed, DestinationKind::failed}) {
    const auto h = m.onAnswer(answer(none(k), none(k)), now);
    EXPECT_FALSE(h.changed);
    EXPECT_NE(h.problem, "");
    EXPECT_EQ(m.endpoints(), All{"10.0.0.1:80"});
    EXPECT_GE(m.nextQuery() - now, pause);  // the retry delay grows up to 30 s
    pause = m.nextQuery() - now;
    now = m.nextQuery();
  }
  EXPECT_EQ(pause, 30 * kS);
  EXPECT_TRUE(m.onAnswer(answer(records({"10.0.0.2"})), now).changed);
  m.onAnswer(answer(none(DestinationKind::failed), none(DestinationKind::failed)), now);
  EXPECT_EQ(m.nextQuery(), now + kS);  // the retry delay was reset
}

TEST(NameMemory, AppliesOneFamilyWhenTheOtherFails) {
  NameMemory m(host(), {});
  m.onAnswer(answer(records({"10.0.0.1"}), records({"2001:db8::1"})), 0);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.1:80", "[2001:db8::1]:80"}));
  const auto h = m.onAnswer(answer(records({"10.0.0.2"}), none(DestinationKind::failed)), kS);
  EXPECT_TRUE(h.changed);
  EXPECT_NE(h.problem.find("AAAA: timed out"), std::string::npos) << h.problem;
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.2:80", "[2001:db8::1]:80"}));
  EXPECT_EQ(m.nextQuery(), 2 * kS);  // queried again before the TTL, as AAAA failed
  m.onAnswer(answer(records({"10.0.0.2"}), records({})),
             2 * kS);  // an answer without AAAA records removes them
  EXPECT_EQ(m.endpoints(), All{"10.0.0.2:80"});
}

TEST(NameMemory, ReportsForbiddenAddressesAndNeverListsThem) {
  NameSpec s = host();
  s.allow = {"10.0.0.0/8", "2001:db8::/32"};
  NameMemory m(s, {});
  auto h = m.onAnswer(answer(records({"10.255.255.255", "10.0.0.0", "11.0.0.1", "192.168.1.1"}),
                             records({"2001:db9::1", "2001:db8::5"})),
                      0);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.0:80", "10.255.255.255:80", "[2001:db8::5]:80"}));
  EXPECT_EQ(h.forbidden, (All{"11.0.0.1:80", "192.168.1.1:80", "[2001:db9::1]:80"}));
  h = m.onAnswer(answer(records({"11.0.0.1"})), kS);
  EXPECT_FALSE(h.changed);
  EXPECT_NE(h.problem.find("allow"), std::string::npos);
  EXPECT_EQ(m.endpoints().size(), 3u);
  NameMemory any(host(), {});  // addresses that no host can have are never listed
  EXPECT_EQ(
      any.onAnswer(answer(records({"0.0.0.0", "224.0.0.1", "255.255.255.255"}), records({"::", "ff02::1"})),
                   0)
          .forbidden.size(),
      5u);
  EXPECT_TRUE(any.endpoints().empty());
  EXPECT_THROW(Networks({"10.0.0.0/33"}), std::invalid_argument);
}

TEST(NameMemory, ListsTheLowestSrvPriorityThatHasAnAddress) {
  NameSpec s;
  s.srv = "_print._tcp.test";
  NameMemory m(s, {});
  DnsAnswer a;
  a.ttl = 7 * kS;
  a.targets = {{"a.test", 1, 10, records({"10.0.0.1"}), records({})},
               {"b.test", 2, 10, records({"10.0.0.2"}), records({})},
               {"c.test", 3, 20, records({"10.0.0.3"}), records({})}};
  m.onAnswer(a, 0);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.1:1", "10.0.0.2:2"}));
  EXPECT_EQ(m.nextQuery(), 7 * kS);
  a.targets[0].v4 = records({});
  a.targets[1].v4 = none(DestinationKind::no_name);
  m.onAnswer(a, kS);
  EXPECT_EQ(m.endpoints(), All{"10.0.0.3:3"});
  a.targets[0].v4 = none(DestinationKind::failed);  // it had no addresses before
  a.targets[1].v4 = records({"10.0.0.2"});
  m.onAnswer(a, 2 * kS);
  EXPECT_EQ(m.endpoints(), All{"10.0.0.2:2"});
  DnsAnswer lost;
  lost.kind = DestinationKind::failed;
  lost.cause = "timed out";
  EXPECT_FALSE(m.onAnswer(lost, 3 * kS).changed);
  EXPECT_EQ(m.endpoints(), All{"10.0.0.2:2"});
}

// Some name servers return a different subset of the addresses in each answer.
TEST(NameMemory, ListsMissingAddressesForTheKeepTime) {
  NameSpec s = host();
  s.keep = 30 * kS;
  NameMemory m(s, {});
  m.onAnswer(answer(records({"10.0.0.1"})), 0);
  m.onAnswer(answer(records({"10.0.0.2"})), 10 * kS);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.1:80", "10.0.0.2:80"}));
  m.onAnswer(answer(records({"10.0.0.1"})), 20 * kS);
  m.onAnswer(answer(records({"10.0.0.1"}, 600 * kS)), 30 * kS);
  EXPECT_EQ(m.endpoints(), (All{"10.0.0.1:80", "10.0.0.2:80"}));
  EXPECT_EQ(m.nextDue(), 50 * kS);
  EXPECT_FALSE(m.expire(49 * kS));
  EXPECT_TRUE(m.expire(50 * kS));
  EXPECT_EQ(m.endpoints(), All{"10.0.0.1:80"});
  EXPECT_EQ(m.nextDue(), 630 * kS);
}

TEST(NameMemory, UsesAdoptedEndpointsAsStaleUntilAnAnswer) {
  NameMemory m(host(), {});
  m.adopt({"10.0.0.7:80"});
  EXPECT_TRUE(m.isStale());
  for (Micros now = 0; now < 3600 * kS; now = m.nextQuery()) {  // no answer for an hour
    m.onAnswer(answer(none(DestinationKind::failed), none(DestinationKind::failed)), now);
    ASSERT_EQ(m.endpoints(), All{"10.0.0.7:80"});
    ASSERT_TRUE(m.isStale());
  }
  EXPECT_TRUE(m.onAnswer(answer(records({"10.0.0.1"})), 3600 * kS).changed);
  EXPECT_EQ(m.endpoints(), All{"10.0.0.1:80"});
  EXPECT_FALSE(m.isStale());
}

TEST(NameMemory, LimitsTheNumberOfAddresses) {
  All many;
  for (int i = 0; i < 200; ++i)
    many.push_back("10.0.1." + std::to_string(i));
  NameMemory m(host(), {});
  m.onAnswer(answer(records(many)), 0);
  EXPECT_EQ(m.endpoints().size(), DnsLimits{}.most_addresses);
}

// A long TTL must not delay the next query beyond a limit that was lowered later; the endpoints are kept.
TEST(NameMemory, AppliesChangedLimitsToPendingQueries) {
  NameMemory m(host(), {});
  m.onAnswer(answer(records({"127.0.0.1"}, 3000 * kS)), 0);
  EXPECT_EQ(m.nextQuery(), 3000 * kS);
  DnsLimits less;
  less.most_ttl = 5 * kS;
  less.most_retry = 2 * kS;
  m.setLimits(less, kS);
  EXPECT_EQ(m.nextQuery(), 6 * kS);
  EXPECT_EQ(m.nextDue(), 6 * kS);
  EXPECT_EQ(m.endpoints().size(), 1u);
  m.onAnswer(answer(records({"127.0.0.1"}, 3000 * kS)), 6 * kS);
  EXPECT_EQ(m.nextQuery(), 11 * kS);
}

}  // namespace
}  // namespace grademux
