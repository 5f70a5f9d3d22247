// The version of the running program. In a source file of its own, so that a test can link another version.
#pragma once

namespace grademux {

const char* programVersion();

}  // namespace grademux
