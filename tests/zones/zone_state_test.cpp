#include "../../src/zones/zone_state.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

TEST(ZoneStateTest, RoundTripsThroughJsonAndNamesTheInvalidField) {
  ZoneState state = recovering(2, 0.5, {"s1", "s2"});
  state.failed_recoveries = 3;
  state.pinned_by_operator = true;
  state.reason = "x";
  EXPECT_TRUE(parseState(toJson(state)) == state);
  EXPECT_TRUE(parseVote(toJson(ZoneVote{Observation::failing, 2.5, 4})) ==
              (ZoneVote{Observation::failing, 2.5, 4}));
  for (const auto& [text, expected_error] :
       std::vector<std::pair<std::string, std::string>>{{R"("out")", "object"},
                                                        {R"({"state":"away"})", "state: in, out or back"},
                                                        {R"({"state":"back","share":2})", "share"},
                                                        {R"({"state":"back","carriers":[1]})", "carriers"}})
    try {
      parseState(json::parse(text));
      ADD_FAILURE() << text;
    } catch (const BadInput& error) {
      EXPECT_NE(std::string(error.what()).find(expected_error), std::string::npos) << error.what();
    }
}

}  // namespace
}  // namespace grademux::zones
