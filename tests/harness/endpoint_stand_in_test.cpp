// The endpoint stand-in beside the checker: a delivery and a notice of one message are a fault of the sender,
// unless the sender had closed its connection before it read the answer.
#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "../../harness/stand_ins.h"
#include "../../harness/test_environment.h"
#include "../../src/core/clock.h"
#include "../support/program_paths.h"

namespace grademux::harness {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// One endpoint on a thread of its own, and a scripted sender that has accepted one message.
class EndpointStandInTest : public ::testing::Test {
 protected:
  EndpointStandInTest()
      : work_(asio::make_work_guard(endpoint_io_)), thread_([this] { endpoint_io_.run(); }) {
    const std::int64_t index = checker_.open(Idempotency::non_idempotent, Via::resp, monotonicNow());
    message_ = &checker_.at(index);
    id_ = checker_.id(index);
    checker_.answered(*message_, Reply::accepted, monotonicNow());
  }
  ~EndpointStandInTest() override {
    endpoint_io_.stop();
    thread_.join();
  }

  void startEndpoint(EndpointBehaviour behaviour) {
    endpoint_ = std::make_unique<EndpointStandIn>(endpoint_io_, checker_, "endpoint", 0, behaviour, 1);
  }
  // Sends the call of the message on a new connection.
  tcp::socket call() {
    const std::string address = endpoint_->address();
    const auto colon = address.rfind(':');
    tcp::socket socket(sender_io_);
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))});
    asio::write(socket, asio::buffer("POST /v1/calls HTTP/1.1\r\nX-Txn: " + id_ +
                                     "\r\nContent-Length: 3\r\n\r\n0 x"));
    return socket;
  }
  static void readAnswer(tcp::socket& socket) {
    std::string answer(httpAnswer("200 OK").size(), ' ');
    asio::read(socket, asio::buffer(answer));
    ASSERT_EQ(httpAnswer("200 OK"), answer);
  }
  // The sender tells of the message that it was not delivered. Gives how many messages have two final
  // outcomes.
  int doubleEndsAfterNotice() {
    const Micros limit = monotonicNow() + 10'000'000;
    while (message_->delivered == 0 && monotonicNow() < limit)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(1, message_->delivered);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(100));  // for the endpoint to see how the connection ends
    checker_.notice(id_, monotonicNow());
    bool holds = false;
    const int double_ends = checker_.summary(holds)["double_ends"];
    EXPECT_EQ(double_ends == 0, holds);
    return double_ends;
  }

  DeliveryChecker checker_{8};
  Record* message_ = nullptr;
  std::string id_;
  asio::io_context endpoint_io_{1}, sender_io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::unique_ptr<EndpointStandIn> endpoint_;
  std::thread thread_;
};

TEST_F(EndpointStandInTest, BlamesASenderThatReadTheAnswerAndKeepsTheConnection) {
  startEndpoint({});
  tcp::socket socket = call();
  readAnswer(socket);
  EXPECT_EQ(1, doubleEndsAfterNotice());
}

TEST_F(EndpointStandInTest, BlamesASenderThatReadTheAnswerAndClosed) {
  startEndpoint({});
  tcp::socket socket = call();
  readAnswer(socket);
  socket.close();
  EXPECT_EQ(1, doubleEndsAfterNotice());
}

TEST_F(EndpointStandInTest, BlamesASenderThatLeavesTheAnswerUnreadForLong) {
  startEndpoint({});
  tcp::socket socket = call();
  socket.wait(tcp::socket::wait_read);
  std::this_thread::sleep_for(std::chrono::microseconds(kAnswerReadWithin + 100'000));
  socket.close();
  EXPECT_EQ(1, doubleEndsAfterNotice());
}

TEST_F(EndpointStandInTest, AcceptsANoticeWhenTheConnectionWasClosedOverTheUnreadAnswer) {
  startEndpoint({});
  tcp::socket socket = call();
  socket.wait(tcp::socket::wait_read);
  socket.close();
  EXPECT_EQ(0, doubleEndsAfterNotice());
}

TEST_F(EndpointStandInTest, AcceptsANoticeWhenTheConnectionWasClosedBeforeTheAnswer) {
  EndpointBehaviour behaviour;
  behaviour.answers_at_end = true;
  behaviour.service = 10'000'000;
  startEndpoint(behaviour);
  call().close();
  EXPECT_EQ(0, doubleEndsAfterNotice());
}

// The sender itself: the answers of payments are held until it stops waiting for them.
TEST(EndpointStandInWithSender, AnswerThatCrossesTheTimeoutOfAPaymentIsNoSecondOutcome) {
  EnvironmentConfig config;
  config.destinations = 1;
  config.endpoints_each = 1;
  config.http = false;
  TestEnvironment environment(senderProgram(), 1, config);
  environment.setDaemonText(
      [] { return std::string("[log]\nrate = 0\n[log.parts]\nattempt = \"debug\"\n"); });
  environment.start();
  environment.load(100, 2'000'000, {Via::resp});  // the sender learns the usual latency
  environment.onStandIns([&] {
    environment.endpoint(0).on_call = [&](const Request& request) {
      EndpointBehaviour& behaviour = environment.endpoint(0).behaviour;
      const Record* record = environment.ledger.find(request.field("X-Txn"));
      behaviour.answers_at_end = record && record->effect == Idempotency::non_idempotent;
      behaviour.service = behaviour.answers_at_end ? 60'000'000 : 2'000;
    };
  });
  environment.load(50, 1'000'000, {Via::resp});
  environment.settle(25'000'000);
  environment.run(500'000);
  environment.stop();

  std::size_t crossed = 0;
  for (std::size_t i = 0; i < environment.ledger.size(); ++i) {
    const Record& record = environment.ledger.at(static_cast<std::int64_t>(i));
    if (record.delivered == 0 || record.notices == 0)
      continue;
    ++crossed;
    EXPECT_EQ(1, record.runs);
    const std::string id = environment.ledger.id(static_cast<std::int64_t>(i));
    EXPECT_NE(std::string::npos, environment.log().find("attempt.finished message=" + id +
                                                        " endpoint=e0-0 attempt=0 outcome=timeout"));
  }
  EXPECT_GT(crossed, 0u);
  bool holds = false;
  EXPECT_EQ(0, environment.ledger.summary(holds)["double_ends"]);
}

}  // namespace
}  // namespace grademux::harness
