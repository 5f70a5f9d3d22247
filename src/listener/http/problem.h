// What is wrong with a request of the HTTP listener, as a problem document (RFC 9457) names it. Plain data.
#pragma once

#include <string>

namespace grademux::http_listener {

struct Problem {
  int status = 400;
  std::string code;    // the end of the document's type, urn:grademux:problem:CODE
  std::string detail;  // for people
};

}  // namespace grademux::http_listener
