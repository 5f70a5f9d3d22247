// grademux: the version of the program that runs. In a file of its own, so that a test can link another.
#pragma once

namespace grademux {

const char* programVersion();

}  // namespace grademux
