#ifndef DOGWOODRAIL_CORE_BASE_ID_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_ID_TYPE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dogwoodrail::core::base {

// String with a distinct type per tag, so that, for example, an account name
// cannot be passed as a service name.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  // Returns the plain string.
  const std::string& value() const { return value_; }
  // True if the string is empty.
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongString& a, const StrongString& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StrongString& a, const StrongString& b) {
    return a.value_ != b.value_;
  }
  friend bool operator<(const StrongString& a, const StrongString& b) {
    return a.value_ < b.value_;
  }

 private:
  std::string value_;
};

// Number with a distinct type per tag.
template <typename Tag, typename Int = std::uint64_t>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Int value) : value_(value) {}

  // Returns the plain number.
  constexpr Int value() const { return value_; }

  friend constexpr bool operator==(StrongNumber a, StrongNumber b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(StrongNumber a, StrongNumber b) {
    return a.value_ != b.value_;
  }
  friend constexpr bool operator<(StrongNumber a, StrongNumber b) {
    return a.value_ < b.value_;
  }

 private:
  Int value_ = 0;
};

// Name of a client account in the configuration.
using AccountName = StrongString<struct AccountNameTag>;
// Name of a service, as announced by backend servers and referenced by routes.
using ServiceName = StrongString<struct ServiceNameTag>;
// Name of a route in the configuration.
using RouteName = StrongString<struct RouteNameTag>;
// Names of an availability zone and of its region.
using ZoneName = StrongString<struct ZoneNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
// Address of a node: "ip:port" of its peer listener.
using NodeAddress = StrongString<struct NodeAddressTag>;
// Name of a node in the directory of the host system.
using NodeName = StrongString<struct NodeNameTag>;
// Identifies a request across its call chain, set at its entry; 32 hex digits.
using RequestId = StrongString<struct RequestIdTag>;

// Identifies one run of a node process; random, chosen at startup.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Identifies a call at one node; unique for the lifetime of the process.
using CallId = StrongNumber<struct CallIdTag>;
// Number of a change ticket and of the configuration that results from it.
using TicketNumber = StrongNumber<struct TicketNumberTag>;

}  // namespace dogwoodrail::core::base

template <typename Tag>
struct std::hash<dogwoodrail::core::base::StrongString<Tag>> {
  // Hashes the plain string.
  std::size_t operator()(
      const dogwoodrail::core::base::StrongString<Tag>& s) const {
    return std::hash<std::string>()(s.value());
  }
};

template <typename Tag, typename Int>
struct std::hash<dogwoodrail::core::base::StrongNumber<Tag, Int>> {
  // Hashes the plain number.
  std::size_t operator()(
      dogwoodrail::core::base::StrongNumber<Tag, Int> n) const {
    return std::hash<Int>()(n.value());
  }
};

#endif  // DOGWOODRAIL_CORE_BASE_ID_TYPE_H_
