// HTTP transport over loopback sockets: each row of the protocol's outcome table, and the connection pool.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "transport_fixture.h"

namespace grademux {
namespace {

using loopback::Act;
using loopback::answer;
using loopback::Seen;
using loopback::Server;

AttemptOutcome outcomeOf(const Act& act, Micros timeout = 60'000'000) {
  Server s([&](const Seen&) { return act; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  return fixture.runAttempt("m", timeout);
}

struct Row {
  const char* name;
  Act act;
  AttemptResult result;
  bool finished;
  Micros wait;
  friend void PrintTo(const Row& r, std::ostream* out) { *out << r.name; }
};
class Outcomes : public ::testing::TestWithParam<Row> {};

TEST_P(Outcomes, MatchOutcomeTable) {
  const Row& r = GetParam();
  const AttemptOutcome o = outcomeOf(r.act);
  EXPECT_EQ(r.result, o.result);
  EXPECT_EQ(r.finished, o.already_finished);
  EXPECT_EQ(r.wait, o.retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Table, Outcomes,
    ::testing::Values(
        Row{"delivered", {answer("200 OK", "", "fine")}, AttemptResult::ok, true, 0},
        Row{"delivered_body_lost",
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::ok,
            true,
            0},
        Row{"error", {answer("500 Oops")}, AttemptResult::error, false, 0},
        Row{"told_to_wait",
            {answer("429 Slow", "Retry-After: 0.25\r\n")},
            AttemptResult::rejected,
            false,
            250'000},
        Row{"told_nonsense",
            {answer("429 Slow", "Retry-After: soon\r\n")},
            AttemptResult::rejected,
            false,
            0},
        Row{"turned_away", {answer("503 Full")}, AttemptResult::rejected, false, 0},
        Row{"no_slot", {answer("503 Full", "X-Egress-Full: 1\r\n")}, AttemptResult::not_sent, false, 0},
        Row{"used_up", {answer("504 Used")}, AttemptResult::not_sent, false, 0},
        Row{"over", {answer("410 Gone")}, AttemptResult::not_sent, true, 0},
        Row{"unknown_status", {answer("418 Tea")}, AttemptResult::error, false, 0},
        Row{"garbled", {"no http at all\r\n\r\n", true}, AttemptResult::reset, false, 0},
        // Malformed responses: the request may have run, whatever the response says, unless its status line
        // has 200.
        Row{"interim_first",
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n" +
             answer("429 Slow", "Retry-After: 0.25\r\n")},
            AttemptResult::rejected,
            false,
            250'000},
        Row{"head_unreadable_200",
            {"HTTP/1.1 200 OK\r\n\x01\x02 no field\r\n\r\n"},
            AttemptResult::ok,
            true,
            0},
        Row{"head_unreadable_429",
            {"HTTP/1.1 429 Slow\r\nRetry-After: 5\r\n\x01\x02 no field\r\n\r\n"},
            AttemptResult::reset,
            false,
            0},
        Row{"head_without_end_200", {"HTTP/1.1 200 OK\r\nX-A: b\r\n"}, AttemptResult::ok, true, 0},
        Row{"head_without_end_503", {"HTTP/1.1 503 Full\r\nX-A: b\r\n"}, AttemptResult::reset, false, 0},
        Row{"head_too_long",
            {"HTTP/1.1 503 Full\r\nX-A: " + std::string(100'000, 'a')},
            AttemptResult::reset,
            false,
            0},
        Row{"huge_200",
            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx"},
            AttemptResult::ok,
            true,
            0},
        Row{"huge_410",
            {"HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\nxxx"},
            AttemptResult::reset,
            false,
            0},
        // Guards against allocating as much memory as Content-Length declares.
        Row{"over_the_body_limit",
            {"HTTP/1.1 410 Gone\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x')},
            AttemptResult::reset,
            false,
            0},
        Row{"chunked",
            {"HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
            AttemptResult::not_sent,
            true,
            0},
        Row{"body_short_503",
            {"HTTP/1.1 503 Full\r\nContent-Length: 10\r\n\r\nhalf"},
            AttemptResult::reset,
            false,
            0},
        // Retry-After of a complete head is valid, though the response does not show whether the attempt ran.
        Row{"body_short_429",
            {"HTTP/1.1 429 Slow\r\nRetry-After: 5\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::reset,
            false,
            5'000'000},
        Row{"body_without_end_429",
            {"HTTP/1.1 429 Slow\r\nRetry-After: 5\r\nContent-Length: 10\r\n\r\nhalf"},
            AttemptResult::reset,
            false,
            5'000'000},
        Row{"body_reset_429",
            {"HTTP/1.1 429 Slow\r\nRetry-After: 5\r\nTransfer-Encoding: chunked\r\n\r\nzz", false, true},
            AttemptResult::reset,
            false,
            5'000'000},
        Row{"body_short_503_with_a_wait",
            {"HTTP/1.1 503 Full\r\nRetry-After: 5\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::reset,
            false,
            5'000'000},
        Row{"body_short_500",
            {"HTTP/1.1 500 Oops\r\nRetry-After: 5\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::reset,
            false,
            0},
        Row{"length_negative",
            {"HTTP/1.1 504 Used\r\nContent-Length: -1\r\n\r\n"},
            AttemptResult::reset,
            false,
            0},
        Row{"no_length_stays_open", {"HTTP/1.1 503 Full\r\n\r\nx"}, AttemptResult::reset, false, 0},
        Row{"noise", {"\x16\x03 200 \r\n"}, AttemptResult::reset, false, 0},
        Row{"second_copy_behind",
            {answer("503 Full") + answer("503 Full")},
            AttemptResult::rejected,
            false,
            0},
        Row{"noise_behind", {answer("200 OK") + "\x01\x02noise"}, AttemptResult::ok, true, 0},
        Row{"wait_with_a_rest",
            {answer("429 Slow", "Retry-After: 5 or so\r\n")},
            AttemptResult::rejected,
            false,
            0},
        Row{"wait_negative", {answer("429 Slow", "Retry-After: -5\r\n")}, AttemptResult::rejected, false, 0},
        Row{"wait_infinite", {answer("429 Slow", "Retry-After: inf\r\n")}, AttemptResult::rejected, false, 0},
        Row{"ended", {"", true}, AttemptResult::reset, false, 0},
        Row{"reset", {"", false, true}, AttemptResult::reset, false, 0},
        Row{"half_a_head", {"HTTP/1.1 200", true}, AttemptResult::reset, false, 0}),
    [](const auto& i) { return std::string(i.param.name); });

TEST(HttpTransport, TimesOutAndClosesConnectionWithoutResponse) {
  Server s([](const Seen&) { return Act{}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  const AttemptOutcome o = fixture.runAttempt("m", 200'000);
  EXPECT_EQ(AttemptResult::timeout, o.result);
  EXPECT_FALSE(o.already_finished);
  EXPECT_EQ(0u, fixture.transport.idleConnections());
}

// Guards against connections to a process that is gone, kept for the one that has started at its address:
// idle ones, and ones whose answer comes after the change of the list.
TEST(HttpTransport, ConnectionsOfAnEarlierProcessAreNotUsedForALaterOne) {
  std::atomic<bool> holds{false};
  Server s([&](const Seen&) {
    while (holds)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return Act{answer("200 OK")};
  });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 1);
  fixture.runAttempt("idle");
  EXPECT_EQ(1u, fixture.transport.idleConnections());
  fixture.transport.setAddress("e", s.address(), 1);  // no change
  EXPECT_EQ(1u, fixture.transport.idleConnections());
  fixture.transport.setAddress("e", s.address(), 2);
  EXPECT_EQ(0u, fixture.transport.idleConnections());
  const auto changeDuringAttempt = [&](const std::string& id, const std::function<void()>& change) {
    holds = true;
    const std::size_t seen = s.seen().size();
    fixture.transport.startAttempt({fixture.message(id), 0, "e", 60'000'000});
    while (s.seen().size() == seen) {
      fixture.io.restart();
      fixture.io.run_for(std::chrono::milliseconds(5));
    }
    change();
    holds = false;
    EXPECT_EQ(AttemptResult::ok, fixture.waitFor(fixture.outcomes.size() + 1).result);
    EXPECT_EQ(0u, fixture.transport.idleConnections()) << id;
  };
  changeDuringAttempt("restarted", [&] { fixture.transport.setAddress("e", s.address(), 3); });
  changeDuringAttempt("removed and listed again", [&] {
    fixture.transport.removeEndpoint("e");
    fixture.transport.setAddress("e", s.address(), 3);
  });
}

// Guards against a loop that is blocked past an attempt's time limit: the response has arrived meanwhile, but
// the handler of the limit runs first. A payment that the partner executed would count as an unknown outcome.
TEST(HttpTransport, PrefersArrivedResponseOverExpiredTimeLimit) {
  loopback::Listener l;
  TransportFixture fixture;
  fixture.transport.setAddress("e", l.address(), 0);
  boost::asio::steady_timer first(fixture.io, std::chrono::milliseconds(250));
  fixture.transport.startAttempt({fixture.message("m"), 0, "e", 300'000});
  const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  int fd = -1;
  while (fd < 0) {
    fixture.io.restart();
    fixture.io.poll();
    pollfd ready{l.fd, POLLIN, 0};
    if (::poll(&ready, 1, 1) > 0)
      fd = ::accept4(l.fd, nullptr, nullptr, SOCK_CLOEXEC);
  }
  std::string in;
  while (in.find("any") == std::string::npos) {  // its body
    fixture.io.restart();
    fixture.io.poll();
    char piece[4096];
    const ssize_t n = ::recv(fd, piece, sizeof piece, MSG_DONTWAIT);
    if (n > 0)
      in.append(piece, static_cast<std::size_t>(n));
  }
  first.async_wait([&](const boost::system::error_code&) {
    const std::string bytes = answer("200 OK");
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  });
  std::this_thread::sleep_until(limit + std::chrono::milliseconds(50));  // both are due now, in this order
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(1).result);
  ::close(fd);
}

TEST(HttpTransport, ReportsConnectFailedWhenConnectionIsRefused) {
  TransportFixture fixture;
  fixture.transport.setAddress("e", loopback::closedAddress(), 0);
  EXPECT_EQ(AttemptResult::connect_failed, fixture.runAttempt("m").result);
  fixture.transport.setAddress("e", "nonsense", 0);
  EXPECT_EQ(AttemptResult::connect_failed, fixture.runAttempt("n").result);
}

// A request is written completely and once, with id, key and body unchanged and the time the sender will
// wait.
TEST(HttpTransport, SendsMessageUnchanged) {
  Server s([](const Seen&) { return Act{answer("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  const AttemptOutcome o = fixture.runAttempt("9b1f03aa5c7e2d41", 1'500'000);
  ASSERT_EQ(1u, s.seen().size());
  const Seen seen = s.seen()[0];
  EXPECT_EQ(0u, seen.head.find("POST /hook HTTP/1.1\r\n"));
  EXPECT_EQ("9b1f03aa5c7e2d41", seen.field("X-Txn"));
  EXPECT_EQ("5c0f6e1a2b3d4c59", seen.field("Idempotency-Key"));
  EXPECT_EQ("1500", seen.field("X-Remaining-Ms"));
  EXPECT_EQ(fixture.message("").body, seen.body);
  ASSERT_TRUE(o.limit_report);
  EXPECT_DOUBLE_EQ(0.4, o.limit_report->remaining_fraction);
  EXPECT_DOUBLE_EQ(25, o.limit_report->rate_limit);
}

// Guards against reading a malformed load report as zeros, which would mean no limit.
TEST(HttpTransport, IgnoresMalformedLoadReport) {
  for (const char* told : {"", "x0", "x0=,x1=", "x0=0.4", "x0=0.4,x1=25,", "x0=0.4,x1=2\x01", "x0=nan,x1=inf",
                           "x0=0.4;x1=25", "x0=0.4,x1=99999999999"}) {
    Server s([&](const Seen&) { return Act{answer("200 OK", std::string("X-Pressure: ") + told + "\r\n")}; });
    TransportFixture fixture;
    fixture.transport.setAddress("e", s.address(), 0);
    EXPECT_FALSE(fixture.runAttempt("m").limit_report) << told;
  }
}

// Guards against reading bytes after a complete response as the response to the next request on that
// connection.
TEST(HttpTransport, DoesNotReadBytesAfterResponseAsNextResponse) {
  std::atomic<int> calls{0};
  Server s([&](const Seen&) {
    return ++calls == 1 ? Act{answer("200 OK") + answer("200 OK")} : Act{answer("503 Full")};
  });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  EXPECT_EQ(AttemptResult::ok, fixture.runAttempt("a").result);
  EXPECT_EQ(AttemptResult::rejected, fixture.runAttempt("b").result);
  EXPECT_NE(s.seen()[0].connection, s.seen()[1].connection);
}

// Guards against keeping addresses and connections of removed endpoints forever.
TEST(HttpTransport, ClosesConnectionsOfRemovedEndpoint) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  fixture.runAttempt("a");
  EXPECT_EQ(1u, fixture.transport.idleConnections());
  fixture.transport.removeEndpoint("e");
  EXPECT_EQ(0u, fixture.transport.idleConnections());
  EXPECT_EQ(AttemptResult::connect_failed, fixture.runAttempt("b").result);
}

TEST(HttpTransport, ReusesConnectionsAndClosesThemOnDemand) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  fixture.runAttempt("a");
  fixture.rest();
  fixture.runAttempt("b");
  EXPECT_EQ(s.seen()[0].connection, s.seen()[1].connection);
  fixture.transport.closeIdleConnections("e");
  EXPECT_EQ(0u, fixture.transport.idleConnections());
  fixture.runAttempt("c");
  EXPECT_NE(s.seen()[1].connection, s.seen()[2].connection);
}

// Guards against writing a request to a connection that the endpoint has closed: the attempt would end as a
// reset, and a non-idempotent message would be lost.
TEST(HttpTransport, DoesNotWriteToConnectionClosedByEndpoint) {
  Server s([](const Seen&) { return Act{answer("200 OK"), true}; });  // closes without "Connection: close"
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(AttemptResult::ok, fixture.runAttempt("m" + std::to_string(i)).result);
    fixture.io.restart();
    fixture.io.run_for(std::chrono::milliseconds(50));  // time for the close to arrive
  }
}

// A reused connection that fails before the first response byte is reported as stale: the failure is no
// evidence against the endpoint.
TEST(HttpTransport, ReportsStaleReusedConnection) {
  std::atomic<int> calls{0};
  Server s([&](const Seen&) {
    const int n = ++calls;
    if (n == 1 || n == 3)
      return Act{answer("200 OK")};
    return n == 4 ? Act{"HTTP/1.1 50", false, true} : Act{"", false, true};
  });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  EXPECT_EQ(AttemptResult::ok, fixture.runAttempt("a").result);
  fixture.rest();
  AttemptOutcome o = fixture.runAttempt("b");
  EXPECT_EQ(AttemptResult::reset, o.result);
  EXPECT_TRUE(o.stale_connection);
  EXPECT_EQ(AttemptResult::ok, fixture.runAttempt("c").result);
  fixture.rest();
  EXPECT_FALSE(fixture.runAttempt("d").stale_connection);  // part of a response arrived
  o = fixture.runAttempt("e");
  EXPECT_EQ(AttemptResult::reset, o.result);
  EXPECT_FALSE(o.stale_connection);  // a new connection
}

TEST(HttpTransport, ClosesIdleConnectionBeforeEndpointDoes) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  TransportFixture fixture(100'000);
  fixture.transport.setAddress("e", s.address(), 0);
  fixture.runAttempt("a");
  EXPECT_EQ(1u, fixture.transport.idleConnections());
  const auto until = std::chrono::steady_clock::now() + loopback::kLong;
  while (fixture.transport.idleConnections() > 0 && std::chrono::steady_clock::now() < until) {
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::seconds(1));
  }
  EXPECT_EQ(0u, fixture.transport.idleConnections());
}

TEST(HttpTransport, CancelsAttemptWithOneOutcome) {
  Server s([](const Seen&) { return Act{}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  fixture.transport.startAttempt({fixture.message("m"), 3, "e", 60'000'000});
  while (s.seen().empty()) {
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::milliseconds(20));
  }
  fixture.transport.cancelAttempt("m", 3);
  fixture.transport.cancelAttempt("m", 3);
  const AttemptOutcome o = fixture.waitFor(1);
  EXPECT_EQ(AttemptResult::cancelled, o.result);
  EXPECT_EQ(3, o.attempt);
  EXPECT_EQ(0u, fixture.transport.attemptsInFlight());
  fixture.io.restart();
  fixture.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(1u, fixture.outcomes.size());
}

// Guards against writing an attempt that waited for its connection after the permission to send has ended.
TEST(HttpTransport, DoesNotWriteWhenSendGuardForbidsIt) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  TransportFixture fixture;
  fixture.transport.setAddress("e", s.address(), 0);
  bool may = true;
  int asked = 0;
  fixture.transport.setSendGuard([&](const std::string& endpoint) {
    EXPECT_EQ("e", endpoint);
    ++asked;
    return may;
  });
  EXPECT_EQ(AttemptResult::ok, fixture.runAttempt("a").result);
  EXPECT_EQ(1, asked);
  may = false;
  fixture.rest();
  EXPECT_EQ(AttemptResult::connect_failed, fixture.runAttempt("kept").result);  // on the idle connection
  EXPECT_EQ(AttemptResult::connect_failed, fixture.runAttempt("fresh").result);
  EXPECT_EQ(3, asked);
  EXPECT_EQ(1u, s.seen().size());
}

// A listener with a full accept queue: a connection to it is established a second later, when the queue has
// room.
class LateListener {
 public:
  LateListener() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    at_.sin_family = AF_INET;
    at_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at_;
    EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<sockaddr*>(&at_), size));
    EXPECT_EQ(0, ::listen(fd_, 0));
    EXPECT_EQ(0, ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at_), &size));
    filler_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(0, ::connect(filler_, reinterpret_cast<const sockaddr*>(&at_), size));
  }
  ~LateListener() {
    if (server_.joinable())
      server_.join();
    ::close(filler_);
    ::close(fd_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(at_.sin_port)); }
  // Makes room in the queue and answers the one request, if one arrives. `got`: bytes received on the late
  // connection.
  void admit() {
    server_ = std::thread([this] {
      ::close(::accept(fd_, nullptr, nullptr));  // the filler
      pollfd late{fd_, POLLIN, 0};
      if (::poll(&late, 1, kLateMs) <= 0)
        return;  // the attempt was cancelled before its connection was established
      const int c = ::accept(fd_, nullptr, nullptr);
      char bytes[512];
      got = ::recv(c, bytes, sizeof bytes, 0);
      const std::string ok = answer("200 OK");
      if (got > 0)
        ::send(c, ok.data(), ok.size(), MSG_NOSIGNAL);
      ::close(c);
    });
  }
  void finish() { server_.join(); }
  std::atomic<ssize_t> got{0};

 private:
  static constexpr int kLateMs = 3000;  // the kernel retries after 1 s
  int fd_ = -1, filler_ = -1;
  sockaddr_in at_{};
  std::thread server_;
};

// Guards against a connection that is established late and a request on it that violates a Retry-After
// received meanwhile.
TEST(HttpTransport, CancelsAttemptWaitingForConnectionOnRetryAfter) {
  for (const bool told : {true, false}) {
    LateListener late;
    Server s([&](const Seen&) {
      return Act{told ? answer("429 Too Many Requests", "Retry-After: 30\r\n") : answer("200 OK")};
    });
    TransportFixture fixture;
    fixture.transport.setScopes([](const std::string&) { return std::string("destination 7"); });
    fixture.transport.setAddress("late", late.address(), 0);
    fixture.transport.setAddress("e", s.address(), 0);
    fixture.transport.startAttempt({fixture.message("late"), 0, "late", 60'000'000});
    EXPECT_EQ(told ? AttemptResult::rejected : AttemptResult::ok, fixture.runAttempt("m").result);
    late.admit();
    EXPECT_EQ(told ? AttemptResult::not_sent : AttemptResult::ok, fixture.waitFor(2).result);
    late.finish();
    EXPECT_EQ(told, late.got == 0);
  }
}

// Guards against an endpoint that drains or moves while a connection to it is established: it would get a new
// attempt after the drain grace period.
TEST(HttpTransport, CancelsAttemptWaitingForConnectionWhenListChanges) {
  LateListener late;
  TransportFixture fixture;
  fixture.transport.setAddress("late", late.address(), 0);
  fixture.transport.startAttempt({fixture.message("m"), 0, "late", 60'000'000});
  fixture.io.poll();
  fixture.transport.cancelUnwritten("other");
  EXPECT_EQ(1u, fixture.transport.attemptsInFlight());
  fixture.transport.cancelUnwritten("late");
  late.admit();
  EXPECT_EQ(AttemptResult::not_sent, fixture.waitFor(1).result);
  late.finish();
  EXPECT_EQ(0, late.got);
}

// Guards against a retry that is sent when its destination no longer remembers the key: a second effect.
TEST(HttpTransport, DoesNotRetryOnConnectionEstablishedAfterWriteLimit) {
  LateListener late;
  TransportFixture fixture;
  fixture.transport.setAddress("late", late.address(), 0);
  fixture.transport.startAttempt({fixture.message("m"), 0, "late", 60'000'000, 300'000});
  late.admit();  // the connection would be established after 1 s
  EXPECT_EQ(AttemptResult::not_sent, fixture.waitFor(1).result);
  late.finish();
  EXPECT_EQ(0, late.got);
}

// Guards against cancelling an attempt while its response is unread in the socket: a Retry-After would be
// violated, or a delivery would be missed.
TEST(HttpTransport, EvaluatesArrivedBytesOnCancel) {
  const struct {
    std::string bytes;
    AttemptResult result;
    Micros wait;
    bool finished;
  } rows[] = {
      {answer("429 Slow", "Retry-After: 5\r\n"), AttemptResult::rejected, 5'000'000, false},
      {"HTTP/1.1 429 Slow\r\nRetry-After: 5\r\nContent-Length: 10\r\n\r\nhalf", AttemptResult::cancelled,
       5'000'000, false},
      {answer("200 OK"), AttemptResult::ok, 0, true},
      {"HTTP/1.1 429 Slow\r\nRetry-", AttemptResult::cancelled, 0, false},
      // A status line with 200 confirms the delivery, whatever follows it.
      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", AttemptResult::ok, 0, true},
      {"HTTP/1.1 200 OK\r\nContent-", AttemptResult::ok, 0, true},
      {"", AttemptResult::cancelled, 0, false},
  };
  for (const auto& row : rows) {
    ManualServer server;
    TransportFixture fixture;
    const int fd = server.startFirstAttempt(fixture, "m");
    ManualServer::send(fd, row.bytes);  // on loopback the bytes have arrived when send() returns
    fixture.transport.cancelAttempt("m", 0);
    const AttemptOutcome o = fixture.waitFor(1);
    EXPECT_EQ(row.result, o.result) << row.bytes;
    EXPECT_EQ(row.wait, o.retry_after) << row.bytes;
    EXPECT_EQ(row.finished, o.already_finished) << row.bytes;
    ::close(fd);
  }
}

// Guards against an endpoint's 200 that arrives in two pieces on a malformed response: a delivered message
// would be sent again, or reported as failed. The second piece is sent once the first has been read.
TEST(HttpTransport, BelievesStatus200InTwoPiecesOfMalformedResponse) {
  const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4x7\r\n\r\nok";
  for (const std::size_t cut : {1u, 10u, 12u, 16u, 30u}) {
    ManualServer server;
    TransportFixture fixture;
    const int fd = server.startFirstAttempt(fixture, "m");
    ManualServer::send(fd, bytes.substr(0, cut));
    fixture.io.restart();
    fixture.io.poll();
    EXPECT_TRUE(fixture.outcomes.empty()) << cut;
    ManualServer::send(fd, bytes.substr(cut));
    const AttemptOutcome outcome = fixture.waitFor(1);
    EXPECT_EQ(AttemptResult::ok, outcome.result) << cut;
    EXPECT_TRUE(outcome.already_finished) << cut;
    ::close(fd);
  }
}

// Guards against taking the time between an interim response (RFC 9110, section 15.2) and the final one for
// the time that a response takes to arrive: a slow endpoint's answer would be cut off, and the message sent
// again or reported as failed.
TEST(HttpTransport, WaitsForFinalResponseAfterInterimResponseUntilAttemptLimit) {
  ManualServer server;
  TransportFixture fixture;
  const int fd = server.startFirstAttempt(fixture, "m");
  ManualServer::send(fd, "HTTP/1.1 102 Processing\r\n\r\n");
  constexpr auto kLongerThanResponseLimit = std::chrono::milliseconds(600);
  fixture.io.restart();
  fixture.io.run_for(kLongerThanResponseLimit);
  EXPECT_TRUE(fixture.outcomes.empty());
  if (fixture.outcomes.empty())
    ManualServer::send(fd, answer("200 OK"));
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(1).result);
  ::close(fd);
}

// Guards against cutting off a response that comes steadily, but takes longer than a limit from its first
// byte to its last: a rejection would count as an attempt that may have run, and a payment would fail.
TEST(HttpTransport, ReadsResponseThatMakesProgressToItsEnd) {
  using std::chrono::milliseconds;
  const std::string text = answer("503 Busy", "", "come again");
  Server server([&](const Seen&) {
    Act act{text.substr(0, 5)};
    for (std::size_t at = 5; at < text.size(); at += 10)
      act.pieces.push_back({milliseconds(200), text.substr(at, 10)});
    return act;
  });
  TransportFixture fixture;
  fixture.transport.setAddress("e", server.address(), 0);
  EXPECT_EQ(AttemptResult::rejected, fixture.runAttempt("m").result);
}

// Guards against a response that trickles and never ends: it ends with the limit of its attempt.
TEST(HttpTransport, EndsTricklingResponseAtAttemptLimit) {
  using std::chrono::milliseconds;
  constexpr Micros kLimit = 1'000'000;
  Server server([&](const Seen&) {
    Act act{"HTTP/1.1 503 Busy\r\nContent-Length: 1000\r\n\r\n"};
    act.pieces.assign(300, {milliseconds(100), "x"});
    return act;
  });
  TransportFixture fixture;
  fixture.transport.setAddress("e", server.address(), 0);
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(AttemptResult::reset, fixture.runAttempt("m", kLimit).result);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::microseconds(5 * kLimit));
}

// Guards against a connect time limit that expires in the same loop iteration as the connection is
// established. The request is written, and then the handler of the limit, which can't be cancelled any more,
// reports it as not written: a second effect.
TEST(HttpTransport, IgnoresConnectLimitThatExpiresAlongWithConnection) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  TransportFixture fixture(60'000'000, 50'000);
  fixture.transport.setAddress("e", s.address(), 0);
  fixture.transport.startAttempt({fixture.message("m"), 0, "e", 60'000'000});
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // both are due now
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(1).result);
  EXPECT_EQ(1u, s.seen().size());
}

// Guards against an endpoint that closes an idle connection, or sends half a line on it, just after the
// connection was chosen for an attempt: the attempt would have an unknown outcome.
TEST(HttpTransport, ChecksReusedConnectionAgainBeforeFirstByte) {
  for (const bool half_a_line : {false, true}) {
    ManualServer server;
    TransportFixture fixture;
    const int first = server.startFirstAttempt(fixture, "a");
    ManualServer::send(first, answer("200 OK"));
    EXPECT_EQ(AttemptResult::ok, fixture.waitFor(1).result);
    ASSERT_EQ(1u, fixture.transport.idleConnections());
    fixture.rest();
    fixture.transport.startAttempt(
        {fixture.message("b"), 0, "e",
         60'000'000});  // on the idle connection; nothing is written before the loop runs
    if (half_a_line)
      ManualServer::send(first, "HTTP/1.1 4");
    else
      ::shutdown(first, SHUT_WR);
    fixture.io.restart();
    fixture.io.poll();
    const int second = server.accept();
    ASSERT_GE(second, 0);
    ManualServer::readRequest(fixture, second);
    ManualServer::send(second, answer("200 OK"));
    EXPECT_EQ(AttemptResult::ok, fixture.waitFor(2).result);
    char byte;
    EXPECT_LE(::recv(first, &byte, 1, 0), 0);  // the connection was closed, and nothing was written on it
    ::close(first);
    ::close(second);
  }
}

// Guards against a request in several writes whose last byte is sent after a Retry-After arrived or its
// endpoint drained. An endpoint starts to execute a request at its last byte.
TEST(HttpTransport, CancelsHalfWrittenRequestOnRetryAfter) {
  ManualServer slow;
  Server s([](const Seen&) { return Act{answer("429 Slow", "Retry-After: 30\r\n")}; });
  TransportFixture fixture;
  fixture.transport.setScopes([](const std::string&) { return std::string("destination 7"); });
  fixture.transport.setAddress("slow", slow.listener.address(), 0);
  fixture.transport.setAddress("e", s.address(), 0);
  AcceptedMessage large = fixture.message("large");
  large.body.assign(32u << 20, 'x');  // more than the kernel buffers
  fixture.transport.startAttempt({large, 0, "slow", 60'000'000});
  fixture.io.poll();
  const int fd = slow.accept();
  fixture.io.restart();
  fixture.io.poll();
  EXPECT_EQ(AttemptResult::rejected, fixture.runAttempt("m").result);
  const AttemptOutcome o = fixture.waitFor(2);
  EXPECT_EQ("large", o.id);
  EXPECT_EQ(AttemptResult::not_sent, o.result);
  std::size_t got = 0;
  std::vector<char> piece(1u << 20);
  for (ssize_t n; (n = ::recv(fd, piece.data(), piece.size(), 0)) > 0;)
    got += static_cast<std::size_t>(n);
  EXPECT_GT(got, 0u);
  EXPECT_LT(got, large.body.size());
  ::close(fd);
}

}  // namespace
}  // namespace grademux
