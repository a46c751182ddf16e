#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

#include "http/message_type.h"

namespace dogwoodrail::http {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authorization",
    "Content-Length",
    "Expect"};

constexpr std::string_view kReservedPrefix = "Dogwood-";

}  // namespace

bool HeaderNameEquals(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
      [name](std::string_view it) { return HeaderNameEquals(it, name); });
}

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  for (char& c : name) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return name;
}

const std::string* FindHeader(const std::vector<Header>& headers,
                              std::string_view name) {
  const auto it = std::find_if(
      headers.begin(), headers.end(),
      [name](const Header& row) { return HeaderNameEquals(row.name, name); });
  return it == headers.end() ? nullptr : &it->value;
}

bool IsReservedHeader(std::string_view name) {
  return HeaderNameEquals(name.substr(0, kReservedPrefix.size()),
                          kReservedPrefix);
}

}  // namespace dogwoodrail::http
