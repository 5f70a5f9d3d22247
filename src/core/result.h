// The result type of functions that return a value or an error: Boost.Outcome's unchecked result. Each module
// has its own error type (JournalError, StoreError, ParseError, std::error_code for sockets). Exceptions are
// used only in constructors and for configurations with which the program can't run.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace grademux {

// value() must be called only if has_value() is true, and error() only if it is false.
template <class T, class E>
using Result = boost::outcome_v2::unchecked<T, E>;

// The success value of a function that returns no value but may fail: `return ok();`.
inline auto ok() {
  return boost::outcome_v2::success();
}

}  // namespace grademux
