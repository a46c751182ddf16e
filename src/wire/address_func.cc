#include "wire/address_func.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace dogwoodrail::wire {

using core::base::ErrorCode;
using core::base::MakeError;

core::base::Result<IpPort> ParseIpPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return MakeError(ErrorCode::kInvalidArgument, "no port in '" + text + "'");
  }
  IpPort result;
  result.ip = text.substr(0, colon);
  if (result.ip.size() > 2 && result.ip.front() == '[' &&
      result.ip.back() == ']') {
    result.ip = result.ip.substr(1, result.ip.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(result.ip, ec);
  if (ec) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "no IP address in '" + text + "'");
  }
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, result.port);
  if (parsed.ec != std::errc() || parsed.ptr != last || result.port == 0) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "port out of range in '" + text + "'");
  }
  return result;
}

}  // namespace dogwoodrail::wire
