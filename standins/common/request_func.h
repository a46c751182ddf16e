#ifndef DOGWOODRAIL_STANDINS_COMMON_REQUEST_FUNC_H_
#define DOGWOODRAIL_STANDINS_COMMON_REQUEST_FUNC_H_

#include <chrono>
#include <string>

#include "core/base/random_type.h"

namespace dogwoodrail::standin {

// Returns a digest of a request's target and body. The stand-in backend server
// includes it in the response.
std::string RequestDigest(const std::string& target, const std::string& body);

// Returns a version 7 UUID with the given timestamp.
std::string MakeUuid7(std::chrono::milliseconds since_epoch,
                      core::base::Random& random);

// Returns the current wall-clock time since the Unix epoch.
std::chrono::milliseconds WallNow();

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_COMMON_REQUEST_FUNC_H_
