#include "program_paths.h"

namespace grademux {

std::string senderProgram() {
  return GRADEMUX_SENDER;
}
std::string olderSenderProgram() {
  return GRADEMUX_SENDER_OLDER;
}
std::string fastClockSenderProgram() {
  return GRADEMUX_SENDER_AHEAD;
}
std::string simulatorHostProgram() {
  return SIMHOST;
}
std::string throwingSimulatorHostProgram() {
  return SIMHOST_THROWING;
}
std::string modelProgram() {
  return GRADEMUX_MODEL;
}
std::string sourceFolder() {
  return GRADEMUX_SOURCE;
}

}  // namespace grademux
