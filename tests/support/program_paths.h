// Paths of the programs and files that tests run and read. They are compiled into one source file, so that a
// compiler cache serves all other tests in any folder.
#pragma once

#include <string>

namespace grademux {

std::string senderProgram();
std::string olderSenderProgram();      // announces an older version
std::string fastClockSenderProgram();  // its wall clock is minutes ahead
std::string simulatorHostProgram();
std::string throwingSimulatorHostProgram();  // its decision module throws
std::string modelProgram();
std::string sourceFolder();  // the root of the source tree

}  // namespace grademux
