#ifndef DOGWOODRAIL_CORE_BASE_HTTP_STATUS_H_
#define DOGWOODRAIL_CORE_BASE_HTTP_STATUS_H_

#include <cstdint>

namespace dogwoodrail::core::base {

// What a status code of HTTP makes of a response.
enum class StatusKind : std::uint8_t {
  kInterim,  // 100 to 199 except 101: the final response follows
  kFinal,    // 200 to 599
  kInvalid,  // no response; 101 too, as no node asks to switch protocols
};

// Returns the kind of a status code.
constexpr StatusKind KindOfStatus(int status) {
  constexpr int kFirstInterim = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinal = 200;
  constexpr int kLastFinal = 599;
  if (status >= kFirstFinal && status <= kLastFinal) return StatusKind::kFinal;
  const bool interim = status >= kFirstInterim && status < kFirstFinal &&
                       status != kSwitchingProtocols;
  return interim ? StatusKind::kInterim : StatusKind::kInvalid;
}

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_HTTP_STATUS_H_
