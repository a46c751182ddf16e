#ifndef DOGWOODRAIL_CORE_BASE_ERROR_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_ERROR_TYPE_H_

#include <string>
#include <tl/expected.hpp>

namespace dogwoodrail::core::base {

// Kinds of error that callers of a function distinguish.
enum class ErrorCode {
  kInvalidArgument,  // input failed validation
  kNotFound,
  kConflict,        // a conditional update failed
  kUnavailable,     // not reachable; not known to have had any effect
  kOutcomeUnknown,  // sent, but it is unknown whether it took effect
  kTimeout,
  kCorrupt,    // data failed verification
  kExhausted,  // this process has no room for it
};

// Error kind with a detail text.
struct Error {
  ErrorCode code;
  std::string detail;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Builds the error side of a Result.
inline tl::unexpected<Error> MakeError(ErrorCode code, std::string detail) {
  return tl::make_unexpected(Error{code, std::move(detail)});
}

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_ERROR_TYPE_H_
