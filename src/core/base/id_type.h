#ifndef DOGWOODRAIL_CORE_BASE_ID_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_ID_TYPE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dogwoodrail::core::base {

// A string with a type of its own, so that an account cannot be passed where a
// service is wanted.
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

// A number with a type of its own.
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

// Client account, by its name in the configuration.
using AccountName = StrongString<struct AccountNameTag>;
// Service that backend servers announce and routes point at.
using ServiceName = StrongString<struct ServiceNameTag>;
// Route, by its name in the configuration.
using RouteName = StrongString<struct RouteNameTag>;
// Availability zone, and the region it lies in.
using ZoneName = StrongString<struct ZoneNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
// Node, as "ip:port" of its peer listener.
using NodeAddress = StrongString<struct NodeAddressTag>;
// Node, by its name in the directory of its host system.
using NodeName = StrongString<struct NodeNameTag>;
// Whole request over the call chain, made at its first entry; 32 hex digits.
using RequestId = StrongString<struct RequestIdTag>;

// One life of a node process: random at start.
using Incarnation = StrongNumber<struct IncarnationTag>;
// One call at one node; unique in the life of the process.
using CallId = StrongNumber<struct CallIdTag>;
// Number of a change ticket, and so of the configuration it produced.
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
