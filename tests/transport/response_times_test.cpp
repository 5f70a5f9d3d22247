// What follows from the fastest responses of an endpoint: the earliest plausible response, and the rest of a
// connection between two calls.
#include "../../src/transport/http/response_times.h"

#include <gtest/gtest.h>

namespace grademux {
namespace {

constexpr bool kNew = false, kReused = true;

TEST(ResponseTimes, KnowNothingOfAnEndpointWithoutResponses) {
  ResponseTimes times;
  times.record("other", 80'000, kNew);
  EXPECT_EQ(0, times.earliestPlausible("e"));
  EXPECT_EQ(0, times.restAfterResponse("e"));
}

TEST(ResponseTimes, TakeAQuarterOfTheFastestFirstResponse) {
  ResponseTimes times;
  for (const Micros response_time : {90'000, 80'000, 2'000'000})
    times.record("e", response_time, kNew);
  EXPECT_EQ(20'000, times.earliestPlausible("e"));
}

TEST(ResponseTimes, TakeHalfOfTheFastestLaterResponse) {
  ResponseTimes times;
  times.record("e", 80'000, kNew);
  times.record("e", 30'000, kReused);
  times.record("e", 70'000, kReused);
  EXPECT_EQ(15'000, times.earliestPlausible("e"));
}

// Guards against discarding the responses of an endpoint that has become faster: the next new connection
// shows it.
TEST(ResponseTimes, FollowAnEndpointThatBecomesFaster) {
  ResponseTimes times;
  times.record("e", 80'000, kNew);
  times.record("e", 40'000, kReused);
  times.record("e", 1'000, kNew);
  EXPECT_EQ(500, times.earliestPlausible("e"));
}

// Guards against a response that was taken for another call's, and would end the protection for good.
TEST(ResponseTimes, IgnoreImplausiblyEarlyResponseOnReusedConnection) {
  ResponseTimes times;
  times.record("e", 80'000, kNew);
  times.record("e", 1'000, kReused);
  EXPECT_EQ(20'000, times.earliestPlausible("e"));
}

// Guards against a bound that an endpoint has long outrun: where all its responses are the same, none but the
// first of a connection would count.
TEST(ResponseTimes, RepeatedResponsesLowerWhatIsPlausible) {
  ResponseTimes times;
  times.recordRepeated("unknown", 10'000);
  EXPECT_EQ(0, times.earliestPlausible("unknown"));
  times.record("e", 780'000, kNew);
  times.recordRepeated("e", 780'000);
  EXPECT_EQ(195'000, times.earliestPlausible("e"));
  times.recordRepeated("e", 260'000);
  EXPECT_EQ(130'000, times.earliestPlausible("e"));
  times.recordRepeated("e", 9'000);  // a late copy
  EXPECT_EQ(130'000, times.earliestPlausible("e"));
}

// Guards against setting aside each response of an endpoint that has become much faster, and against a late
// copy that was taken and ends the protection for good.
TEST(ResponseTimes, ResponseThatWasSetAsideHalvesWhatIsPlausible) {
  ResponseTimes times;
  times.record("e", 780'000, kNew);
  times.recordSetAside("e", 1'000);
  EXPECT_EQ(97'500, times.earliestPlausible("e"));
  times.recordSetAside("e", 1'000);
  EXPECT_EQ(48'750, times.earliestPlausible("e"));
  times.recordRepeated("e", 60'000);
  EXPECT_EQ(30'000, times.earliestPlausible("e"));
}

// Guards against a rest that costs fast endpoints many connections.
TEST(ResponseTimes, RestForTheFastestResponseAtMost) {
  ResponseTimes times;
  times.record("e", 80'000, kNew);
  EXPECT_EQ(20'000, times.restAfterResponse("e"));
  times.record("e", 500, kNew);
  EXPECT_EQ(500, times.restAfterResponse("e"));
}

// Guards against discarding responses of an endpoint that moved to a nearer address.
TEST(ResponseTimes, ForgetAnEndpoint) {
  ResponseTimes times;
  times.record("e", 80'000, kNew);
  times.forget("e");
  EXPECT_EQ(0, times.earliestPlausible("e"));
}

}  // namespace
}  // namespace grademux
