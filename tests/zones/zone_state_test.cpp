#include "../../src/zones/zone_state.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

TEST(ZoneStateTest, RoundTripsThroughJsonAndNamesTheWrongField) {
  ZoneState s = recovering(2, 0.5, {"s1", "s2"});
  s.failed_recoveries = 3;
  s.pinned_by_operator = true;
  s.reason = "x";
  EXPECT_TRUE(parseState(toJson(s)) == s);
  EXPECT_TRUE(parseVote(toJson(ZoneVote{Observation::failing, 2.5, 4})) ==
              (ZoneVote{Observation::failing, 2.5, 4}));
  for (const auto& [text, part] :
       std::vector<std::pair<std::string, std::string>>{{R"("out")", "object"},
                                                        {R"({"state":"away"})", "state: in, out or back"},
                                                        {R"({"state":"back","share":2})", "share"},
                                                        {R"({"state":"back","carriers":[1]})", "carriers"}})
    try {
      parseState(json::parse(text));
      ADD_FAILURE() << text;
    } catch (const BadInput& e) {
      EXPECT_NE(std::string(e.what()).find(part), std::string::npos) << e.what();
    }
}

}  // namespace
}  // namespace grademux::zones
