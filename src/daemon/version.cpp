// The version of the running program; see version.h.
#include "version.h"

namespace grademux {

const char* programVersion() {
  return GRADEMUX_VERSION;
}

}  // namespace grademux
