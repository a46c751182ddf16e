#ifndef DOGWOODRAIL_CORE_BASE_POOL_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_POOL_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace dogwoodrail::core::base {

// Typed index into a Pool. The generation distinguishes an entity from earlier
// ones in the same slot.
template <typename Entity>
struct PoolIndex {
  static constexpr std::uint32_t kInvalidSlot = UINT32_MAX;

  std::uint32_t slot = kInvalidSlot;
  std::uint32_t generation = 0;

  // Returns false if default-constructed.
  bool IsValid() const { return slot != kInvalidSlot; }

  friend bool operator==(PoolIndex a, PoolIndex b) {
    return a.slot == b.slot && a.generation == b.generation;
  }
  friend bool operator!=(PoolIndex a, PoolIndex b) { return !(a == b); }
};

// Table of entities with stable typed indexes and slot reuse.
template <typename Entity>
class Pool {
 public:
  using Index = PoolIndex<Entity>;

  // Adds an entity and returns its index.
  Index Add(Entity entity) {
    if (free_slots_.empty()) {
      free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t slot = free_slots_.back();
    free_slots_.pop_back();
    slots_[slot].entity.emplace(std::move(entity));
    ++size_;
    return Index{slot, slots_[slot].generation};
  }

  // Returns the entity, or nullptr if it has been removed.
  Entity* Find(Index index) {
    if (index.slot >= slots_.size()) return nullptr;
    Slot& slot = slots_[index.slot];
    if (slot.generation != index.generation || !slot.entity) return nullptr;
    return &*slot.entity;
  }
  const Entity* Find(Index index) const {
    return const_cast<Pool*>(this)->Find(index);
  }

  // Removes the entity. Returns false if it had already been removed.
  bool Remove(Index index) {
    if (Find(index) == nullptr) return false;
    Slot& slot = slots_[index.slot];
    slot.entity.reset();
    ++slot.generation;
    free_slots_.push_back(index.slot);
    --size_;
    return true;
  }

  // Calls fn(index, entity) for each entity, in slot order.
  template <typename Fn>
  void ForEach(Fn&& fn) {
    for (std::uint32_t it = 0; it < slots_.size(); ++it) {
      Slot& slot = slots_[it];
      if (slot.entity) fn(Index{it, slot.generation}, *slot.entity);
    }
  }

  // Returns the number of entities.
  std::size_t size() const { return size_; }
  // Returns true if there are no entities.
  bool empty() const { return size_ == 0; }

 private:
  struct Slot {
    std::optional<Entity> entity;
    std::uint32_t generation = 0;
  };

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::size_t size_ = 0;
};

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_POOL_TYPE_H_
