// The DNS client against a name server that answers correctly, truncated, falsely or not at all.
#include "../../src/net/dns_client.h"

#include <gtest/gtest.h>

#include "../../harness/dns_stand_in.h"

namespace grademux {
namespace {

using harness::DnsFault;
using DestinationKind = DnsRecords::Kind;
using All = std::vector<std::string>;

struct DnsClientTest : ::testing::Test {
  DnsClientTest() : server(io) { rebuild(); }
  void rebuild() {
    DnsServers s;
    s.servers = {server.address()};
    s.timeout = 200'000;
    client = std::make_unique<DnsClient>(io, s);
  }
  DnsAnswer look(const NameSpec& spec) {
    std::optional<DnsAnswer> got;
    client->resolve(spec, [&](DnsAnswer a) { got = std::move(a); });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!got && std::chrono::steady_clock::now() < until)
      io.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(got) << "no answer in a minute";
    return got.value_or(DnsAnswer{});
  }
  DnsTarget lookHost() {
    NameSpec s;
    s.host = "shop.test";
    s.port = 80;
    const DnsAnswer a = look(s);
    EXPECT_EQ(a.targets.size(), 1u);
    return a.targets.empty() ? DnsTarget{} : a.targets[0];
  }
  void set(DnsFault fault) {
    harness::DnsZoneEntry e;
    e.v4 = {"127.0.0.2", "127.0.0.3"};
    e.v6 = {"::1"};
    e.ttl = 7;
    e.fault = fault;
    server.set("shop.test", e);
  }
  boost::asio::io_context io;
  harness::DnsStandIn server;
  std::unique_ptr<DnsClient> client;
};

TEST_F(DnsClientTest, ReturnsAddressesOfBothFamiliesWithTheirTtl) {
  set(DnsFault::none);
  const DnsTarget t = lookHost();
  EXPECT_EQ(t.v4.addresses, (All{"127.0.0.2", "127.0.0.3"}));
  EXPECT_EQ(t.v6.addresses, All{"::1"});
  EXPECT_EQ(t.v4.ttl, 7'000'000);
  NameSpec one;
  one.host = "shop.test";
  one.family = NameSpec::Family::ipv4;
  const DnsAnswer a = look(one);
  EXPECT_EQ(a.targets[0].v6.kind, DestinationKind::records);
  EXPECT_TRUE(a.targets[0].v6.addresses.empty());
}

// Guards against a truncated UDP answer being used as the complete list of a partner's endpoints.
TEST_F(DnsClientTest, QueriesOverTcpAfterATruncatedAnswerAndNeverUsesItAsComplete) {
  set(DnsFault::truncated);
  EXPECT_EQ(lookHost().v4.addresses, (All{"127.0.0.2", "127.0.0.3"}));
  EXPECT_GE(server.overTcp(), 1u);
  set(DnsFault::cut_off);
  const DnsTarget t = lookHost();
  EXPECT_EQ(t.v4.kind, DestinationKind::failed);
  EXPECT_TRUE(t.v4.addresses.empty());
}

TEST_F(DnsClientTest, FailsWhenTheResponseDoesNotAnswerTheQuery) {
  for (const DnsFault f : {DnsFault::other_name, DnsFault::other_id, DnsFault::garbled, DnsFault::silent,
                           DnsFault::failed, DnsFault::refused}) {
    set(f);
    const DnsTarget t = lookHost();
    EXPECT_EQ(t.v4.kind, DestinationKind::failed) << static_cast<int>(f);
    EXPECT_TRUE(t.v4.addresses.empty()) << static_cast<int>(f);
    EXPECT_NE(t.v4.cause, "");
  }
  set(DnsFault::none);
  EXPECT_EQ(lookHost().v4.addresses.size(), 2u);  // a correct answer is accepted afterwards
}

TEST_F(DnsClientTest, DistinguishesAMissingNameFromMissingRecords) {
  set(DnsFault::no_data);
  EXPECT_EQ(lookHost().v4.kind, DestinationKind::records);
  set(DnsFault::no_name);
  EXPECT_EQ(lookHost().v4.kind, DestinationKind::no_name);
}

TEST_F(DnsClientTest, ResolvesSrvTargetsToTheirAddresses) {
  harness::DnsZoneEntry services;
  services.services = {{10, 0, 8001, "shop.test"}, {20, 5, 8002, "far.test"}, {5, 0, 0, "."}};
  services.ttl = 3;
  server.set("_print._tcp.test", services);
  set(DnsFault::none);
  NameSpec s;
  s.srv = "_print._tcp.test";
  const DnsAnswer a = look(s);
  ASSERT_EQ(a.targets.size(), 2u);
  EXPECT_EQ(a.ttl, 3'000'000);
  for (const DnsTarget& t : a.targets) {
    const bool near = t.host == "shop.test";
    EXPECT_EQ(t.port, near ? 8001 : 8002);
    EXPECT_EQ(t.priority, near ? 10 : 20);
    EXPECT_EQ(t.v4.kind, near ? DestinationKind::records : DestinationKind::no_name);
  }
  s.srv = "_nothing._tcp.test";
  EXPECT_EQ(look(s).kind, DestinationKind::no_name);
}

TEST_F(DnsClientTest, CancelsPendingQueriesWhenTheClientIsDestroyed) {
  set(DnsFault::silent);
  bool answered = false;
  NameSpec s;
  s.host = "shop.test";
  client->resolve(s, [&](const DnsAnswer&) { answered = true; });
  io.poll();
  client.reset();
  io.run_for(std::chrono::milliseconds(50));
  EXPECT_FALSE(answered);
}

}  // namespace
}  // namespace grademux
