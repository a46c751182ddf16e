#ifndef DOGWOODRAIL_WIRE_ADDRESS_FUNC_H_
#define DOGWOODRAIL_WIRE_ADDRESS_FUNC_H_

#include <cstdint>
#include <string>

#include "core/base/error_type.h"

namespace dogwoodrail::wire {

// IP address and port.
struct IpPort {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses "127.0.0.1:9000" or "[::1]:9000". Does not resolve host names.
core::base::Result<IpPort> ParseIpPort(const std::string& text);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_ADDRESS_FUNC_H_
