#ifndef DOGWOODRAIL_CORE_BASE_MEMORY_BUDGET_H_
#define DOGWOODRAIL_CORE_BASE_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>

namespace dogwoodrail::core::base {

// Limits the bytes of messages that a process holds at a time, wherever it
// holds them.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Changes the size of a reservation from `held` to `wanted` bytes. Returns
  // false, and changes nothing, if it grows and there is no room.
  bool TryChange(std::size_t held, std::size_t wanted);
  // The same for bytes that are held already, whether there is room or not.
  void Change(std::size_t held, std::size_t wanted);

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  // Number of reservations that found no room.
  std::uint64_t refusals() const { return refusals_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
  std::uint64_t refusals_ = 0;
};

// The part of a budget that one message takes, until its destruction. Without a
// budget, nothing is limited.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget* budget) : budget_(budget) {}
  ~MemoryReservation() { Resize(0); }
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;

  // Returns false, and changes nothing, if there is no room.
  bool TryResize(std::size_t bytes);
  // For bytes that are held already.
  void Resize(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_ = nullptr;  // not owned
  std::size_t bytes_ = 0;
};

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_MEMORY_BUDGET_H_
