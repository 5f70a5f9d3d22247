// The program with an older number: for fleets in which not all are of one version.
#include "../../src/daemon/version.h"

namespace grademux {
const char* programVersion() {
  return "0.3.9";
}
}  // namespace grademux
