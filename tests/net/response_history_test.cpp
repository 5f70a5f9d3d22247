// Which responses of a connection count as the same.
#include "../../src/net/response_history.h"

#include <gtest/gtest.h>

namespace grademux {
namespace {

HttpResponse response(unsigned status, const std::string& pressure, const std::string& body) {
  HttpResponse made;
  made.result(status);
  made.set("X-Pressure", pressure);
  made.body() = body;
  return made;
}

TEST(ResponseHistory, ContainsResponsesWithTheSameStatusFieldsAndBody) {
  ResponseHistory history;
  const std::uint64_t digest = responseDigest(response(200, "x0=0.4,x1=25", "done"));
  EXPECT_FALSE(history.contains(digest));
  history.add(digest, 200);
  EXPECT_TRUE(history.contains(responseDigest(response(200, "x0=0.4,x1=25", "done"))));
  EXPECT_FALSE(history.contains(responseDigest(response(503, "x0=0.4,x1=25", "done"))));
  EXPECT_FALSE(history.contains(responseDigest(response(200, "x0=0.5,x1=25", "done"))));
  EXPECT_FALSE(history.contains(responseDigest(response(200, "x0=0.4,x1=25", "gone"))));
}

// Guards against calling a part of a 200 a possible copy where no 200 has come on the connection.
TEST(ResponseHistory, ContainsTheStatusOfItsResponses) {
  ResponseHistory history;
  history.add(1, 429);
  EXPECT_TRUE(history.containsStatus(429));
  EXPECT_FALSE(history.containsStatus(200));
  history.clear();
  EXPECT_FALSE(history.containsStatus(429));
}

// Guards against memory that grows with the use of a connection.
TEST(ResponseHistory, ForgetsTheOldestResponses) {
  ResponseHistory history;
  constexpr std::uint64_t kMany = 100;
  for (std::uint64_t digest = 0; digest < kMany; ++digest)
    history.add(digest, 200);
  EXPECT_FALSE(history.contains(0));
  EXPECT_TRUE(history.contains(kMany - 1));
  history.clear();
  EXPECT_FALSE(history.contains(kMany - 1));
}

}  // namespace
}  // namespace grademux
