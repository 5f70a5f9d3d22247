// grademux: the version of the program that runs; see version.h.
#include "version.h"

namespace grademux {

const char* programVersion() {
  return GRADEMUX_VERSION;
}

}  // namespace grademux
