// A response that may be a late copy is set aside when the process that made the call ends: the next process
// learns of it where it can.
#include <tuple>

#include "../support/platform.h"

namespace grademux {
namespace {

using namespace loopback;

constexpr auto kSlowResponse = 1500ms;     // of the first messages; the last is answered at once
constexpr std::size_t kFirstMessages = 6;  // so many in a short time that their connections are kept

// Answers with the same bytes each time.
Act answerFirstMessagesSlowly(const Seen& request) {
  if (request.field("X-Txn") != "last")
    std::this_thread::sleep_for(kSlowResponse);
  return {answer("200 OK")};
}

enum class ProcessEnd { sigterm, replaced, killed };

class ProcessWithResponseSetAside
    : public ::testing::TestWithParam<std::tuple<ProcessEnd, const char* /* message class */>> {
 protected:
  // The first messages tell how slow the endpoint is; the last goes on the connection of one of them.
  void SetUp() override {
    process = platform.start();
    Client client(platform.clients.port);
    for (std::size_t i = 0; i < kFirstMessages; ++i)
      ASSERT_EQ("+OK", client.put("first" + std::to_string(i), "notice", 7));
    for (std::size_t i = 0; i < kFirstMessages; ++i)
      ASSERT_TRUE(platform.waitUntilDelivered("first" + std::to_string(i)));
    std::this_thread::sleep_for(50ms);  // connections rest for 20 ms
    ASSERT_EQ("+OK", client.put("last", std::get<const char*>(GetParam()), 7));
    ASSERT_TRUE(platform.endpoint.waitFor(kFirstMessages + 1));
    ASSERT_LT(platform.endpoint.seen().back().connection, kFirstMessages);
    ASSERT_TRUE(eventually([&] { return platform.log().find("response_set_aside") != std::string::npos; }));
  }
  // Ends the process; another one serves afterwards.
  void endProcess(ProcessEnd end) {
    if (end == ProcessEnd::replaced) {
      platform.replace(process);
      return;
    }
    ::kill(process.pid, end == ProcessEnd::killed ? SIGKILL : SIGTERM);
    platform.waitForExit(process);
    platform.start();
  }

  Platform platform{answerFirstMessagesSlowly};
  Platform::Process process;
};

// Guards against a delivery that the process forgets as it ends: the next one would call with the message
// again, or report a payment as failed. After SIGKILL the message may have run.
TEST_P(ProcessWithResponseSetAside, IsReportedAsDeliveredUnlessKilled) {
  const auto [end, message_class] = GetParam();
  const bool is_payment = std::string(message_class) == "payment";
  endProcess(end);
  if (end != ProcessEnd::killed) {
    EXPECT_TRUE(platform.waitUntilDelivered("last")) << platform.log();
    EXPECT_EQ(1, platform.requestCounts()["last"]);
    EXPECT_EQ(0u, platform.agent.noticeCount());
  } else if (is_payment) {
    EXPECT_TRUE(platform.agent.waitForNotice("last"));
    EXPECT_EQ(1, platform.requestCounts()["last"]);
  } else {
    EXPECT_TRUE(platform.waitUntilDelivered("last"));
    EXPECT_EQ(2, platform.requestCounts()["last"]);
  }
}

std::string nameOf(ProcessEnd end, const std::string& message_class) {
  constexpr const char* kNames[] = {"Sigterm", "Replaced", "Killed"};
  return kNames[static_cast<int>(end)] + ("_" + message_class);
}

INSTANTIATE_TEST_SUITE_P(Table, ProcessWithResponseSetAside,
                         ::testing::Combine(::testing::Values(ProcessEnd::sigterm, ProcessEnd::replaced,
                                                              ProcessEnd::killed),
                                            ::testing::Values("payment", "notice")),
                         [](const auto& row) {
                           return nameOf(std::get<ProcessEnd>(row.param), std::get<const char*>(row.param));
                         });

}  // namespace
}  // namespace grademux
