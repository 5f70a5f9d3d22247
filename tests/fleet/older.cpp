// Builds the program with an older version number, for fleets with senders of several versions.
#include "../../src/daemon/version.h"

namespace grademux {
const char* programVersion() {
  return "0.3.9";
}
}  // namespace grademux
