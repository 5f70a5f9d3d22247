// Invalid settings are rejected by the sender's constructor.
#include <algorithm>

#include "../decision/sender_fixture.h"

using namespace grademux;

namespace {

TEST(Settings, RejectsInvalidValuesWithTheFieldName) {
  Settings settings = makeSettings();
  settings.max_in_flight = 0;
  try {
    Sender sender(settings, 1);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("slots"), std::string::npos);
  }
  settings = makeSettings();
  settings.classes.clear();
  EXPECT_THROW(Sender(settings, 1), std::invalid_argument);
  settings = makeSettings();
  settings.min_decide_interval = -1;
  EXPECT_THROW(Sender(settings, 1), std::invalid_argument);
}

}  // namespace
