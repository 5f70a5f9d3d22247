// An error in a request of the HTTP listener, in the terms of a problem document (RFC 9457). Plain data.
#pragma once

#include <string>

namespace grademux::http_listener {

struct Problem {
  int status = 400;
  std::string code;    // last part of the document's type, urn:grademux:problem:CODE
  std::string detail;  // human-readable explanation
};

}  // namespace grademux::http_listener
