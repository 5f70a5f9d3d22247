// Late copies of earlier responses on a connection that is used again, over loopback sockets: the test holds
// and releases the bytes.
#include "transport_fixture.h"

namespace grademux {
namespace {

// Guards against taking a late copy of an earlier 200 for the response to the next message on the connection:
// that message would be lost (issue 59, evidence 1 and 2).
TEST(HttpTransport, DiscardsLateCopyOfEarlierResponseOnReusedConnection) {
  LateCopyFixture fixture;
  fixture.startSecondAttempt();
  ManualServer::send(fixture.fd, fixture.kFirstResponse);
  fixture.runLoop();
  EXPECT_EQ(1u, fixture.outcomes.size());
  ManualServer::send(fixture.fd, answer("503 Full"));
  EXPECT_EQ(AttemptResult::rejected, fixture.waitFor(2).result);
  EXPECT_EQ(0u, fixture.transport.idleConnections());
}

// The same with the copy in pieces, and with the response right behind it.
TEST(HttpTransport, DiscardsLateCopyInPiecesWithResponseBehindIt) {
  LateCopyFixture fixture;
  fixture.startSecondAttempt();
  constexpr std::size_t kCut = 20;
  ManualServer::send(fixture.fd, fixture.kFirstResponse.substr(0, kCut));
  fixture.runLoop();
  ManualServer::send(fixture.fd,
                     fixture.kFirstResponse.substr(kCut) + answer("429 Slow", "Retry-After: 5\r\n"));
  const AttemptOutcome outcome = fixture.waitFor(2);
  EXPECT_EQ(AttemptResult::rejected, outcome.result);
  EXPECT_EQ(5'000'000, outcome.retry_after);
}

// Guards against a response that was early and like an earlier one, and was the request's own: a delivered
// payment would be reported as failed. No other response comes, so it is taken at the attempt's limit, or
// when the endpoint closes the connection.
TEST(HttpTransport, TakesEarlyRepeatedResponseWhenNoOtherOneComes) {
  for (const bool closes : {false, true}) {
    LateCopyFixture fixture;
    fixture.startSecondAttempt(closes ? 60'000'000 : 600'000);
    ManualServer::send(fixture.fd, fixture.kFirstResponse);
    fixture.runLoop();
    EXPECT_EQ(1u, fixture.outcomes.size());
    if (closes)
      ::shutdown(fixture.fd, SHUT_WR);
    const AttemptOutcome outcome = fixture.waitFor(2);
    EXPECT_EQ(AttemptResult::ok, outcome.result);
    EXPECT_TRUE(outcome.already_finished);
    EXPECT_EQ(0u, fixture.transport.idleConnections());
  }
}

// Guards against a late copy that is still unread, or has come in part, when the attempt is cancelled. Behind
// a whole one the request's own response decides, after the cancellation as before it.
TEST(HttpTransport, DiscardsLateCopyOnCancel) {
  for (const bool whole : {true, false}) {
    LateCopyFixture fixture;
    fixture.startSecondAttempt();
    constexpr std::size_t kCut = 30;  // behind the status line
    ManualServer::send(fixture.fd, fixture.kFirstResponse.substr(0, whole ? std::string::npos : kCut));
    fixture.transport.cancelAttempt("second", 0);
    if (whole) {
      fixture.rest();
      EXPECT_EQ(1u, fixture.outcomes.size());
      ManualServer::send(fixture.fd, answer("503 Full"));
    }
    const AttemptOutcome outcome = fixture.waitFor(2);
    EXPECT_EQ(whole ? AttemptResult::rejected : AttemptResult::cancelled, outcome.result);
    EXPECT_FALSE(outcome.already_finished);
    EXPECT_FALSE(outcome.is_unverified);
  }
}

// A response that differs from the earlier ones is the request's own, however early: rejections often are.
TEST(HttpTransport, TakesEarlyResponseThatRepeatsNoEarlierOne) {
  LateCopyFixture fixture;
  fixture.startSecondAttempt();
  ManualServer::send(fixture.fd, answer("503 Full"));
  EXPECT_EQ(AttemptResult::rejected, fixture.waitFor(2).result);
  EXPECT_EQ(1u, fixture.transport.idleConnections());
}

// Guards against writing a call while bytes that the endpoint wrote right behind its response are on their
// way.
TEST(HttpTransport, LeavesConnectionUnusedRightAfterResponse) {
  LateCopyFixture fixture;
  fixture.startSecondAttempt();
  ManualServer::send(fixture.fd, answer("200 OK"));
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(2).result);
  fixture.transport.startAttempt({fixture.message("third"), 0, "e", 60'000'000});
  fixture.runLoop();
  const int fd = fixture.server.accept();
  ManualServer::readRequest(fixture, fd);
  ManualServer::send(fd, answer("200 OK"));
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(3).result);
  EXPECT_EQ(2u, fixture.transport.idleConnections());
  ::close(fd);
}

// Guards against mistaking the response to a message that ran before, which may come at once, for a late
// copy: the message would be sent again after its delivery.
TEST(HttpTransport, SendsRepeatOfMessageThatMayHaveRunOnNewConnection) {
  LateCopyFixture fixture;
  AttemptRequest repeat{fixture.message("second"), 1, "e", 60'000'000};
  repeat.may_have_run = true;
  fixture.transport.startAttempt(repeat);
  fixture.runLoop();
  const int fd = fixture.server.accept();
  ManualServer::readRequest(fixture, fd);
  ManualServer::send(fd, fixture.kFirstResponse);
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(2).result);
  ::close(fd);
}

}  // namespace
}  // namespace grademux
