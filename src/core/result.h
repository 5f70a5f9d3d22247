// The one type for "a value or an error" in this program: Boost.Outcome's unchecked result. An error is a
// type of its own that says what went wrong (JournalError, StoreError, ParseError, std::error_code for
// sockets). Exceptions are kept for constructors and for a configuration that the program can't go on with.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace grademux {

// has_value() tells which; value() and error() must be called on the right one alone.
template <class T, class E>
using Result = boost::outcome_v2::unchecked<T, E>;

// For a function that gives nothing but may fail: `return ok();`.
inline auto ok() {
  return boost::outcome_v2::success();
}

}  // namespace grademux
