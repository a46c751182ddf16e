#include "core/base/memory_budget.h"

#include <utility>

namespace dogwoodrail::core::base {
namespace {

// A message of this size or less may exceed the limit by a part of it, so
// that a few large messages do not keep out all others.
constexpr std::size_t kSmallBytes = std::size_t{16} * 1024;
constexpr std::size_t kSmallExcessDivisor = 4;

}  // namespace

bool MemoryBudget::TryChange(std::size_t held, std::size_t wanted) {
  const bool is_small = wanted <= kSmallBytes;
  const std::size_t limit =
      is_small ? limit_ + limit_ / kSmallExcessDivisor : limit_;
  if (wanted > held && used_ - held + wanted > limit) {
    ++refusals_;
    return false;
  }
  Change(held, wanted);
  return true;
}

void MemoryBudget::Change(std::size_t held, std::size_t wanted) {
  used_ = used_ - held + wanted;
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  budget_ = other.budget_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryReservation::TryResize(std::size_t bytes) {
  if (bytes == bytes_) return true;
  if (budget_ != nullptr && !budget_->TryChange(bytes_, bytes)) return false;
  bytes_ = bytes;
  return true;
}

// A reservation that is empty may outlive its budget.
void MemoryReservation::Resize(std::size_t bytes) {
  if (bytes == bytes_) return;
  if (budget_ != nullptr) budget_->Change(bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace dogwoodrail::core::base
