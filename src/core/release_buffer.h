// Gives the memory of a string back. Header only.
#pragma once

#include <string>

namespace grademux {

// Empties the string and frees what it has allocated. Neither clear() nor an assignment of {} frees anything.
inline void releaseBuffer(std::string& text) {
  std::string().swap(text);
}

}  // namespace grademux
