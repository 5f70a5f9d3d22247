// Calls over loopback sockets: each row of the protocol's table of outcomes, and the pool of connections.
#include "../../src/transport/http/http_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <thread>

#include "../support/loopback.h"

namespace grademux {
namespace {

using loopback::Act;
using loopback::answer;
using loopback::Seen;
using loopback::Server;

struct Pool {
  explicit Pool(Micros conn_idle = 60'000'000, Micros dial = 5'000'000)
      : endpoints(io, {dial, conn_idle, 16}, [this](AttemptOutcome o) { outcomes.push_back(std::move(o)); }) {
  }

  AcceptedMessage message(const std::string& id) {
    AcceptedMessage m;
    m.id = id;
    m.idempotency_key = "5c0f6e1a2b3d4c59";
    m.body = std::string("any\0bytes\r\n", 11);
    return m;
  }
  // Makes a call and waits for its outcome.
  AttemptOutcome call(const std::string& id, Micros timeout = 60'000'000) {
    const std::size_t before = outcomes.size();
    endpoints.startAttempt({message(id), 0, "e", timeout});
    return waitFor(before + 1);
  }
  AttemptOutcome waitFor(std::size_t count) {
    const auto until = std::chrono::steady_clock::now() + loopback::kLong;
    while (outcomes.size() < count && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::seconds(1));
    }
    EXPECT_EQ(count, outcomes.size());
    return outcomes.empty() ? AttemptOutcome{} : outcomes.back();
  }

  boost::asio::io_context io;
  std::vector<AttemptOutcome> outcomes;
  HttpTransport endpoints;
};

AttemptOutcome outcomeOf(const Act& act, Micros timeout = 60'000'000) {
  Server s([&](const Seen&) { return act; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  return p.call("m", timeout);
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

TEST_P(Outcomes, AreThoseOfTheTable) {
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
        // Spoilt answers: the request has run, whatever is told, unless the first line says 200.
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
        // Risk: memory is taken for as much as a length says.
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
        // What a head has told counts, though the answer says nothing of whether the call ran.
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

TEST(HttpTransport, SilenceEndsInATimeOutAndClosesTheConnection) {
  Server s([](const Seen&) { return Act{}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  const AttemptOutcome o = p.call("m", 200'000);
  EXPECT_EQ(AttemptResult::timeout, o.result);
  EXPECT_FALSE(o.already_finished);
  EXPECT_EQ(0u, p.endpoints.idleConnections());
}

// Risk: the loop was held up past a call's limit. The answer has come meanwhile, but the limit's end is first
// in line: a payment that the partner took counts as one of which nothing is known.
TEST(HttpTransport, AnAnswerThatIsThereGoesBeforeALimitThatHasPassed) {
  loopback::Listener l;
  Pool p;
  p.endpoints.setAddress("e", l.address());
  boost::asio::steady_timer first(p.io, std::chrono::milliseconds(250));
  p.endpoints.startAttempt({p.message("m"), 0, "e", 300'000});
  const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  int fd = -1;
  while (fd < 0) {
    p.io.restart();
    p.io.poll();
    pollfd ready{l.fd, POLLIN, 0};
    if (::poll(&ready, 1, 1) > 0)
      fd = ::accept4(l.fd, nullptr, nullptr, SOCK_CLOEXEC);
  }
  std::string in;
  while (in.find("any") == std::string::npos) {  // its body
    p.io.restart();
    p.io.poll();
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
  EXPECT_EQ(AttemptResult::ok, p.waitFor(1).result);
  ::close(fd);
}

TEST(HttpTransport, ARefusedConnectionNeverRan) {
  Pool p;
  p.endpoints.setAddress("e", loopback::closedAddress());
  EXPECT_EQ(AttemptResult::connect_failed, p.call("m").result);
  p.endpoints.setAddress("e", "nonsense");
  EXPECT_EQ(AttemptResult::connect_failed, p.call("n").result);
}

// A call is written whole and once: id, key and body unchanged, and how long the sender will wait.
TEST(HttpTransport, ACallCarriesTheMessageUnchanged) {
  Server s([](const Seen&) { return Act{answer("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  const AttemptOutcome o = p.call("9b1f03aa5c7e2d41", 1'500'000);
  ASSERT_EQ(1u, s.seen().size());
  const Seen seen = s.seen()[0];
  EXPECT_EQ(0u, seen.head.find("POST /hook HTTP/1.1\r\n"));
  EXPECT_EQ("9b1f03aa5c7e2d41", seen.field("X-Txn"));
  EXPECT_EQ("5c0f6e1a2b3d4c59", seen.field("Idempotency-Key"));
  EXPECT_EQ("1500", seen.field("X-Remaining-Ms"));
  EXPECT_EQ(p.message("").body, seen.body);
  ASSERT_TRUE(o.limit_report);
  EXPECT_DOUBLE_EQ(0.4, o.limit_report->remaining_fraction);
  EXPECT_DOUBLE_EQ(25, o.limit_report->rate_limit);
}

// Risk: a report that can't be read is taken for zeros, which say that there is no limit.
TEST(HttpTransport, AReportThatCantBeReadIsNone) {
  for (const char* told : {"", "x0", "x0=,x1=", "x0=0.4", "x0=0.4,x1=25,", "x0=0.4,x1=2\x01", "x0=nan,x1=inf",
                           "x0=0.4;x1=25", "x0=0.4,x1=99999999999"}) {
    Server s([&](const Seen&) { return Act{answer("200 OK", std::string("X-Pressure: ") + told + "\r\n")}; });
    Pool p;
    p.endpoints.setAddress("e", s.address());
    EXPECT_FALSE(p.call("m").limit_report) << told;
  }
}

// Risk: what comes behind a good answer is read as the answer to the next call on that connection.
TEST(HttpTransport, WhatComesBehindAnAnswerIsNotTheNextOne) {
  std::atomic<int> calls{0};
  Server s([&](const Seen&) {
    return ++calls == 1 ? Act{answer("200 OK") + answer("200 OK")} : Act{answer("503 Full")};
  });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  EXPECT_EQ(AttemptResult::ok, p.call("a").result);
  EXPECT_EQ(AttemptResult::rejected, p.call("b").result);
  EXPECT_NE(s.seen()[0].connection, s.seen()[1].connection);
}

// Risk: addresses and connections of endpoints that are gone are kept for good.
TEST(HttpTransport, WhatIsGoneIsForgotten) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.call("a");
  EXPECT_EQ(1u, p.endpoints.idleConnections());
  p.endpoints.removeEndpoint("e");
  EXPECT_EQ(0u, p.endpoints.idleConnections());
  EXPECT_EQ(AttemptResult::connect_failed, p.call("b").result);
}

TEST(HttpTransport, ConnectionsAreReusedAndClosedOnDemand) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.call("a");
  p.call("b");
  EXPECT_EQ(s.seen()[0].connection, s.seen()[1].connection);
  p.endpoints.closeIdleConnections("e");
  EXPECT_EQ(0u, p.endpoints.idleConnections());
  p.call("c");
  EXPECT_NE(s.seen()[1].connection, s.seen()[2].connection);
}

// Guards against a request that is written to a connection the endpoint has closed: it would end as a reset,
// and an unsafe message would be lost by it.
TEST(HttpTransport, AConnectionClosedByTheEndpointIsNotWrittenTo) {
  Server s([](const Seen&) { return Act{answer("200 OK"), true}; });  // closes, without saying so
  Pool p;
  p.endpoints.setAddress("e", s.address());
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(AttemptResult::ok, p.call("m" + std::to_string(i)).result);
    p.io.restart();
    p.io.run_for(std::chrono::milliseconds(50));  // time for the end to arrive
  }
}

// What breaks on a kept connection before a byte of the answer came is told apart: it says nothing of the
// endpoint.
TEST(HttpTransport, AKeptConnectionThatTurnsOutDeadIsTold) {
  std::atomic<int> calls{0};
  Server s([&](const Seen&) {
    const int n = ++calls;
    if (n == 1 || n == 3)
      return Act{answer("200 OK")};
    return n == 4 ? Act{"HTTP/1.1 50", false, true} : Act{"", false, true};
  });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  EXPECT_EQ(AttemptResult::ok, p.call("a").result);
  AttemptOutcome o = p.call("b");
  EXPECT_EQ(AttemptResult::reset, o.result);
  EXPECT_TRUE(o.stale_connection);
  EXPECT_EQ(AttemptResult::ok, p.call("c").result);
  EXPECT_FALSE(p.call("d").stale_connection);  // part of an answer came
  o = p.call("e");
  EXPECT_EQ(AttemptResult::reset, o.result);
  EXPECT_FALSE(o.stale_connection);  // a fresh connection
}

TEST(HttpTransport, AnIdleConnectionIsClosedBeforeTheEndpointWould) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p(100'000);
  p.endpoints.setAddress("e", s.address());
  p.call("a");
  EXPECT_EQ(1u, p.endpoints.idleConnections());
  const auto until = std::chrono::steady_clock::now() + loopback::kLong;
  while (p.endpoints.idleConnections() > 0 && std::chrono::steady_clock::now() < until) {
    p.io.restart();
    p.io.run_one_for(std::chrono::seconds(1));
  }
  EXPECT_EQ(0u, p.endpoints.idleConnections());
}

TEST(HttpTransport, ACallIsCalledOffByClosingAndHasOneOutcome) {
  Server s([](const Seen&) { return Act{}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.endpoints.startAttempt({p.message("m"), 3, "e", 60'000'000});
  while (s.seen().empty()) {
    p.io.restart();
    p.io.run_one_for(std::chrono::milliseconds(20));
  }
  p.endpoints.cancelAttempt("m", 3);
  p.endpoints.cancelAttempt("m", 3);
  const AttemptOutcome o = p.waitFor(1);
  EXPECT_EQ(AttemptResult::cancelled, o.result);
  EXPECT_EQ(3, o.attempt);
  EXPECT_EQ(0u, p.endpoints.attemptsInFlight());
  p.io.restart();
  p.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(1u, p.outcomes.size());
}

// Risk: a call that waited for its connection is written after the right to make it has ended.
TEST(HttpTransport, WhatMayNotGoWhenTheConnectionIsThereIsNotWritten) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  bool may = true;
  int asked = 0;
  p.endpoints.setSendGuard([&](const std::string& endpoint) {
    EXPECT_EQ("e", endpoint);
    ++asked;
    return may;
  });
  EXPECT_EQ(AttemptResult::ok, p.call("a").result);
  EXPECT_EQ(1, asked);
  may = false;
  EXPECT_EQ(AttemptResult::connect_failed, p.call("kept").result);  // on the connection that is there
  EXPECT_EQ(AttemptResult::connect_failed, p.call("fresh").result);
  EXPECT_EQ(3, asked);
  EXPECT_EQ(1u, s.seen().size());
}

// A listener whose queue is full: a connection to it comes up a second later, when there is room.
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
  // Makes room; answers the one request, if one comes. `got`: the bytes that came on the late connection.
  void admit() {
    server_ = std::thread([this] {
      ::close(::accept(fd_, nullptr, nullptr));  // the filler
      pollfd late{fd_, POLLIN, 0};
      if (::poll(&late, 1, kLateMs) <= 0)
        return;  // the call was called off before its connection was there
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
  static constexpr int kLateMs = 3000;  // the system tries again after 1 s
  int fd_ = -1, filler_ = -1;
  sockaddr_in at_{};
  std::thread server_;
};

// Risk: a connection comes up late, and what is written on it breaks a wait that was told meanwhile.
TEST(HttpTransport, ACallThatWaitedForItsConnectionHeedsAWaitThatWasToldMeanwhile) {
  for (const bool told : {true, false}) {
    LateListener late;
    Server s([&](const Seen&) {
      return Act{told ? answer("429 Too Many Requests", "Retry-After: 30\r\n") : answer("200 OK")};
    });
    Pool p;
    p.endpoints.setScopes([](const std::string&) { return std::string("destination 7"); });
    p.endpoints.setAddress("late", late.address());
    p.endpoints.setAddress("e", s.address());
    p.endpoints.startAttempt({p.message("late"), 0, "late", 60'000'000});
    EXPECT_EQ(told ? AttemptResult::rejected : AttemptResult::ok, p.call("m").result);
    late.admit();
    EXPECT_EQ(told ? AttemptResult::not_sent : AttemptResult::ok, p.waitFor(2).result);
    late.finish();
    EXPECT_EQ(told, late.got == 0);
  }
}

// Risk: an endpoint drains or moves while a connection to it comes up, and gets a new call after the grace.
TEST(HttpTransport, ACallThatWaitedForItsConnectionIsNotMadeWhereTheListHasChanged) {
  LateListener late;
  Pool p;
  p.endpoints.setAddress("late", late.address());
  p.endpoints.startAttempt({p.message("m"), 0, "late", 60'000'000});
  p.io.poll();
  p.endpoints.cancelUnwritten("other");
  EXPECT_EQ(1u, p.endpoints.attemptsInFlight());
  p.endpoints.cancelUnwritten("late");
  late.admit();
  EXPECT_EQ(AttemptResult::not_sent, p.waitFor(1).result);
  late.finish();
  EXPECT_EQ(0, late.got);
}

// Risk: a repeat goes out when its destination has forgotten the key: a second effect.
TEST(HttpTransport, ARepeatIsNotMadeOnAConnectionThatComesUpTooLateForIt) {
  LateListener late;
  Pool p;
  p.endpoints.setAddress("late", late.address());
  p.endpoints.startAttempt({p.message("m"), 0, "late", 60'000'000, 300'000});
  late.admit();  // its connection would be there after 1 s
  EXPECT_EQ(AttemptResult::not_sent, p.waitFor(1).result);
  late.finish();
  EXPECT_EQ(0, late.got);
}

// Accepts connections by hand, so that a test decides when each byte goes, with no loop in between.
struct ByHand {
  int accept() {
    pollfd ready{listener.fd, POLLIN, 0};
    constexpr int kLongMs = 20'000;
    if (::poll(&ready, 1, kLongMs) <= 0) {
      ADD_FAILURE() << "no connection came";
      return -1;
    }
    return ::accept4(listener.fd, nullptr, nullptr, SOCK_CLOEXEC);
  }
  // Runs the transport until the request has come whole.
  static void readRequest(Pool& p, int fd) {
    std::string in;
    EXPECT_TRUE(loopback::eventually([&] {
      p.io.restart();
      p.io.poll();
      char piece[4096];
      const ssize_t n = ::recv(fd, piece, sizeof piece, MSG_DONTWAIT);
      if (n > 0)
        in.append(piece, static_cast<std::size_t>(n));
      return in.find("any") != std::string::npos;  // its body
    }));
  }
  // Makes the first call to endpoint "e", which is this one, and reads its request; gives the connection.
  int takeFirstCall(Pool& p, const std::string& id) {
    p.endpoints.setAddress("e", listener.address());
    p.endpoints.startAttempt({p.message(id), 0, "e", 60'000'000});
    p.io.poll();
    const int fd = accept();
    readRequest(p, fd);
    return fd;
  }
  static void send(int fd, const std::string& bytes) {
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  loopback::Listener listener;
};

// Risk: a call is called off while its answer lies unread in the socket: a wait is broken, or a delivery is
// not known of.
TEST(HttpTransport, WhatHasComeCountsWhenACallIsCalledOff) {
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
      {"", AttemptResult::cancelled, 0, false},
  };
  for (const auto& row : rows) {
    ByHand server;
    Pool p;
    const int fd = server.takeFirstCall(p, "m");
    ByHand::send(fd, row.bytes);  // on loopback it has come when this returns
    p.endpoints.cancelAttempt("m", 0);
    const AttemptOutcome o = p.waitFor(1);
    EXPECT_EQ(row.result, o.result) << row.bytes;
    EXPECT_EQ(row.wait, o.retry_after) << row.bytes;
    EXPECT_EQ(row.finished, o.already_finished) << row.bytes;
    ::close(fd);
  }
}

// Risk: the time limit on connecting and the connection come in one step of the loop. The request is written,
// and then the limit, whose handler can't be cancelled any more, says that it never was: a second effect.
TEST(HttpTransport, ALimitThatIsDueWithTheConnectionDoesNotDenyARequestThatWasWritten) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p(60'000'000, 50'000);
  p.endpoints.setAddress("e", s.address());
  p.endpoints.startAttempt({p.message("m"), 0, "e", 60'000'000});
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // both are due now
  EXPECT_EQ(AttemptResult::ok, p.waitFor(1).result);
  EXPECT_EQ(1u, s.seen().size());
}

// Risk: an endpoint closes a kept connection, or sends half a line on it, just after it was chosen for a
// call: the call would end in the unknown.
TEST(HttpTransport, AKeptConnectionIsLookedAtAgainRightBeforeTheFirstByte) {
  for (const bool half_a_line : {false, true}) {
    ByHand server;
    Pool p;
    const int first = server.takeFirstCall(p, "a");
    ByHand::send(first, answer("200 OK"));
    EXPECT_EQ(AttemptResult::ok, p.waitFor(1).result);
    ASSERT_EQ(1u, p.endpoints.idleConnections());
    p.endpoints.startAttempt(
        {p.message("b"), 0, "e", 60'000'000});  // on it; nothing is written before the loop runs
    if (half_a_line)
      ByHand::send(first, "HTTP/1.1 4");
    else
      ::shutdown(first, SHUT_WR);
    p.io.restart();
    p.io.poll();
    const int second = server.accept();
    ASSERT_GE(second, 0);
    ByHand::readRequest(p, second);
    ByHand::send(second, answer("200 OK"));
    EXPECT_EQ(AttemptResult::ok, p.waitFor(2).result);
    char byte;
    EXPECT_LE(::recv(first, &byte, 1, 0), 0);  // it ended, and nothing was written there
    ::close(first);
    ::close(second);
  }
}

// Risk: a request that goes out in several writes has its last byte after a wait was told, or after its
// endpoint drained. An endpoint begins a call at its last byte.
TEST(HttpTransport, ARequestThatIsHalfWrittenIsNotFinishedIntoAWait) {
  ByHand slow;
  Server s([](const Seen&) { return Act{answer("429 Slow", "Retry-After: 30\r\n")}; });
  Pool p;
  p.endpoints.setScopes([](const std::string&) { return std::string("destination 7"); });
  p.endpoints.setAddress("slow", slow.listener.address());
  p.endpoints.setAddress("e", s.address());
  AcceptedMessage large = p.message("large");
  large.body.assign(32u << 20, 'x');  // more than the system buffers
  p.endpoints.startAttempt({large, 0, "slow", 60'000'000});
  p.io.poll();
  const int fd = slow.accept();
  p.io.restart();
  p.io.poll();
  EXPECT_EQ(AttemptResult::rejected, p.call("m").result);
  const AttemptOutcome o = p.waitFor(2);
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
