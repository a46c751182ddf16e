#include "core/base/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace dogwoodrail::core::base {
namespace {

constexpr std::size_t kLimit = 1'000'000;
constexpr std::size_t kSmall = 10'000;

BOOST_AUTO_TEST_SUITE(memory_budget)

BOOST_AUTO_TEST_CASE(reservations_share_the_limit) {
  MemoryBudget budget(kLimit);
  MemoryReservation a(&budget);
  MemoryReservation b(&budget);
  BOOST_TEST(a.TryResize(600'000));
  BOOST_TEST(!b.TryResize(600'000));
  BOOST_TEST(b.bytes() == 0U);
  BOOST_TEST(budget.refusals() == 1U);
  BOOST_TEST(b.TryResize(400'000));
  BOOST_TEST(!a.TryResize(600'001));
  BOOST_TEST(a.TryResize(100'000));
  BOOST_TEST(budget.used() == 500'000U);
}

BOOST_AUTO_TEST_CASE(destruction_and_move_return_what_was_held) {
  MemoryBudget budget(kLimit);
  {
    MemoryReservation a(&budget);
    BOOST_TEST(a.TryResize(500'000));
    MemoryReservation b(std::move(a));
    BOOST_TEST(budget.used() == 500'000U);
    MemoryReservation c(&budget);
    BOOST_TEST(c.TryResize(200'000));
    c = std::move(b);
    BOOST_TEST(budget.used() == 500'000U);
  }
  BOOST_TEST(budget.used() == 0U);
}

// A few large messages must not keep out the small ones.
BOOST_AUTO_TEST_CASE(small_messages_find_room_beside_large_ones) {
  MemoryBudget budget(kLimit);
  MemoryReservation large(&budget);
  BOOST_TEST(large.TryResize(kLimit));
  MemoryReservation next(&budget);
  BOOST_TEST(!next.TryResize(kLimit / 2));
  BOOST_TEST(next.TryResize(kSmall));
}

BOOST_AUTO_TEST_CASE(small_messages_are_limited_too) {
  MemoryBudget budget(kLimit);
  constexpr std::size_t kMany = 200;
  std::size_t admitted = 0;
  MemoryReservation all[kMany];
  for (MemoryReservation& it : all) {
    it = MemoryReservation(&budget);
    if (it.TryResize(kSmall)) ++admitted;
  }
  BOOST_TEST(admitted == 125U);
}

BOOST_AUTO_TEST_CASE(empty_reservation_may_outlive_its_budget) {
  std::optional<MemoryBudget> budget;
  budget.emplace(kLimit);
  MemoryReservation reservation(&*budget);
  reservation.Resize(kLimit);
  reservation.Resize(0);
  budget.reset();
}

BOOST_AUTO_TEST_CASE(without_a_budget_nothing_is_limited) {
  MemoryReservation reservation;
  BOOST_TEST(reservation.TryResize(kLimit));
  BOOST_TEST(reservation.bytes() == kLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::base
