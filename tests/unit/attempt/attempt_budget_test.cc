#include "core/attempt/attempt_budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/base/random_type.h"

namespace dogwoodrail::core::attempt {
namespace {

namespace data = boost::unit_test::data;

constexpr int kHops = 8;
constexpr int kCallsPerHop = 6;

// Simulates the dispatches of one request in a chain whose hops all retry.
// Answers are lost, duplicated and delivered in random order among concurrent
// calls.
class RetryingChain {
 public:
  explicit RetryingChain(std::uint64_t seed) : random_(seed) {}

  // Makes the calls of one execution and counts each dispatch.
  void RunCalls(AttemptBudget& budget, int hop) {
    std::vector<AttemptShare> outstanding;
    std::vector<AttemptCount> unspent;
    for (int it = 0; it < kCallsPerHop; ++it) {
      if (!budget.TrySpend()) break;
      ++dispatches_;
      const AttemptShare share = budget.Reserve();
      AttemptBudget child = AttemptBudget::FromShare(share.count);
      if (hop < kHops) RunCalls(child, hop + 1);
      deepest_ = std::max(deepest_, hop);
      outstanding.push_back(share);
      unspent.push_back(child.Close());
      BOOST_TEST(!child.TrySpend());
      if (base::RandomBelow(random_, 2) == 0) {
        DeliverAnswer(budget, outstanding, unspent);
      }
    }
    while (!outstanding.empty()) DeliverAnswer(budget, outstanding, unspent);
  }

  int dispatches() const { return dispatches_; }
  int deepest() const { return deepest_; }

 private:
  // Delivers, loses or duplicates the answer of one outstanding call.
  void DeliverAnswer(AttemptBudget& budget,
                     std::vector<AttemptShare>& outstanding,
                     std::vector<AttemptCount>& unspent) {
    const std::size_t pick = base::RandomBelow(random_, outstanding.size());
    const std::uint64_t delivery = base::RandomBelow(random_, 3);
    if (delivery == 0) budget.MarkLost(outstanding[pick].id);
    if (delivery >= 1) budget.Return(outstanding[pick].id, unspent[pick]);
    if (delivery == 2) budget.Return(outstanding[pick].id, unspent[pick]);
    outstanding.erase(outstanding.begin() + static_cast<std::ptrdiff_t>(pick));
    unspent.erase(unspent.begin() + static_cast<std::ptrdiff_t>(pick));
  }

  base::Random random_;
  int dispatches_ = 0;
  int deepest_ = 0;
};

BOOST_AUTO_TEST_SUITE(attempt_budget)

BOOST_DATA_TEST_CASE(bound_holds_over_eight_hops_that_all_retry,
                     data::xrange(1, 301), seed) {
  const AttemptCount bound = 1 + seed % 64;
  RetryingChain chain(seed);
  AttemptBudget root = AttemptBudget::FromRoute(bound, std::nullopt);
  chain.RunCalls(root, 1);
  BOOST_TEST_MESSAGE("seed " << seed << " bound " << bound << " dispatches "
                             << chain.dispatches());
  BOOST_TEST(chain.dispatches() <= static_cast<int>(bound));
}

BOOST_AUTO_TEST_CASE(bound_of_32_reaches_the_eighth_hop) {
  AttemptBudget budget = AttemptBudget::FromRoute(32, std::nullopt);
  for (int hop = 1; hop <= kHops; ++hop) {
    BOOST_TEST_REQUIRE(budget.TrySpend());
    budget = AttemptBudget::FromShare(budget.Reserve().count);
  }
}

BOOST_AUTO_TEST_CASE(caller_lowers_the_bound_but_never_raises_it) {
  BOOST_TEST(AttemptBudget::FromRoute(5, 9U).remaining() == 5U);
  BOOST_TEST(AttemptBudget::FromRoute(5, 2U).remaining() == 2U);
  BOOST_TEST(AttemptBudget::FromRoute(5, 0U).remaining() == 1U);
  BOOST_TEST(AttemptBudget::FromRoute(0, std::nullopt).remaining() == 1U);
}

BOOST_AUTO_TEST_CASE(answer_cannot_return_more_than_its_share) {
  AttemptBudget budget = AttemptBudget::FromRoute(10, std::nullopt);
  const AttemptShare share = budget.Reserve(4);
  budget.Return(share.id, 100);
  BOOST_TEST(budget.remaining() == 10U);
  budget.Return(share.id, 4);
  BOOST_TEST(budget.remaining() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::attempt
