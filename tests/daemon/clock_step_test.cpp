// Steps of the system clock between two processes of a sender: what the second one reads back keeps its age.
// fastClockSenderProgram() has a clock that is three minutes ahead.
#include "../../src/core/clock.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

constexpr int kLifeMs = 6000;
constexpr auto kNoticeSlack = 4s;

class ClockStep : public ::testing::Test {
 protected:
  ClockStep()
      : endpoint_([this](const Seen&) -> Act { return {answer(is_shut_ ? "503 Unavailable" : "200 OK")}; }),
        program_(folder_.path(), agent_.address(), json::array({listed("e1", endpoint_.address(), 7)})) {}

  // Waits for the end of the message in the next process.
  bool isGivenUpOnTime(const std::string& first_program, const std::string& second_program) {
    restartAs(first_program);
    const auto submitted_at = std::chrono::steady_clock::now();
    EXPECT_EQ("+OK", Client(program_.port()).put("late", "notice", 7, "x", kLifeMs));
    EXPECT_TRUE(endpoint_.waitFor(1));
    restartAs(second_program);
    EXPECT_TRUE(eventually([&] {
      return agent_.noticeCount() > 0 ||
             std::chrono::steady_clock::now() > submitted_at + kLifeMs * 1ms + kNoticeSlack;
    }));
    const auto life = std::chrono::steady_clock::now() - submitted_at;
    return agent_.noticeCount() == 1 && life > kLifeMs * 1ms / 2;
  }

  void restartAs(const std::string& program) {
    program_.kill();
    program_.restart({}, program);
  }

  std::atomic<bool> is_shut_{true};
  TempFolder folder_;
  Agent agent_;
  Server endpoint_;
  Program program_;
};

// Guards against messages that get their final answer minutes late: the deadline was read back by the stepped
// clock.
TEST_F(ClockStep, ClockSetBackDoesNotProlongMessages) {
  EXPECT_TRUE(isGivenUpOnTime(fastClockSenderProgram(), senderProgram()));
}

// Guards against messages that are given up with most of their time left.
TEST_F(ClockStep, ClockSetForwardDoesNotShortenMessages) {
  EXPECT_TRUE(isGivenUpOnTime(senderProgram(), fastClockSenderProgram()));
}

// A file that is damaged, or of an earlier start of the machine, counts as none.
TEST_F(ClockStep, UnusableTimeBaseIsReplaced) {
  const std::string path = folder_.path() + "/record_time";
  for (const char* content : {"", "damaged", "0000-another-start 5000000 end\n"}) {
    program_.kill();
    std::ofstream(path) << content;
    program_.restart();
    std::ifstream file(path);
    std::string machine_start, end;
    Micros offset = 0;
    file >> machine_start >> offset >> end;
    EXPECT_EQ(end, "end") << content;
    EXPECT_LT(std::abs(unixNow() - boottimeNow() - offset), 1'000'000) << content;
  }
}

}  // namespace
}  // namespace grademux
