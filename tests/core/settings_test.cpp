// Settings that cannot be.
#include <algorithm>

#include "../decision/rig.h"

using namespace grademux;

namespace {

TEST(Settings, RejectedWithTheFieldsName) {
  Settings s = makeSettings();
  s.slots = 0;
  try {
    Sender sender(s, 1);
    FAIL();
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("slots"), std::string::npos);
  }
  s = makeSettings();
  s.classes.clear();
  EXPECT_THROW(Sender(s, 1), std::invalid_argument);
  s = makeSettings();
  s.tick = -1;
  EXPECT_THROW(Sender(s, 1), std::invalid_argument);
}

}  // namespace
