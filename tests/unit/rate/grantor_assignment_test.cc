#include "core/rate/grantor_assignment.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "core/rate/rate_ledger.h"

namespace dogwoodrail::core::rate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kShards = 64;

TimePoint At(Duration time) { return TimePoint(time); }

shard::Member MakeMember(int n) {
  return {{base::NodeAddress("10.0.0." + std::to_string(n) + ":7000"),
           base::Incarnation(static_cast<std::uint64_t>(n))},
          base::ZoneName("a")};
}

std::vector<shard::Member> MembersWithout(int self, int count) {
  std::vector<shard::Member> members;
  for (int n = 1; n <= count; ++n) {
    if (n != self) members.push_back(MakeMember(n));
  }
  return members;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_homes)

BOOST_AUTO_TEST_CASE(each_shard_has_one_grantor) {
  constexpr int kNodes = 5;
  std::vector<int> grantor_counts(kShards, 0);
  for (int n = 1; n <= kNodes; ++n) {
    GrantorAssignment assignment(kShards, MakeMember(n));
    assignment.OnDirectory(kNodes, At(seconds(1)));
    assignment.OnMembers(MembersWithout(n, kNodes), At(seconds(1)));
    for (std::uint32_t it = 0; it < kShards; ++it) {
      grantor_counts[it] += assignment.IsGrantor(ShardIndex(it)) ? 1 : 0;
    }
  }
  for (const int n : grantor_counts) BOOST_TEST(n == 1);
}

// After all nodes were killed, each restarts without knowing the others. If
// each granted the full rates until it found the others, an account would get a
// multiple of its rate.
BOOST_AUTO_TEST_CASE(a_node_grants_nothing_before_it_knows_the_directory) {
  GrantorAssignment assignment(kShards, MakeMember(1));
  BOOST_TEST(assignment.OnMembers({}, At(seconds(1))).empty());
  BOOST_TEST(!assignment.IsGrantor(ShardIndex(0)));
  BOOST_TEST(!assignment.GrantorOf(ShardIndex(0)).has_value());
}

BOOST_AUTO_TEST_CASE(a_lone_node_grants_its_share_of_the_directory) {
  GrantorAssignment assignment(kShards, MakeMember(1));
  assignment.OnDirectory(12, At(seconds(1)));
  BOOST_TEST(assignment.OnMembers({}, At(seconds(1))).size() == kShards);
  BOOST_TEST(assignment.LiveShare() == 1.0 / 12,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_partition_grants_only_its_share_of_the_rates) {
  GrantorAssignment assignment(kShards, MakeMember(1));
  assignment.OnDirectory(4, At(seconds(1)));
  assignment.OnMembers(MembersWithout(1, 4), At(seconds(1)));
  BOOST_TEST(assignment.LiveShare() == 1.0);
  assignment.OnMembers({}, At(seconds(5)));
  BOOST_TEST(assignment.LiveShare() == 0.25);
  // Nodes that have not been seen for a long time no longer count.
  assignment.OnMembers({}, At(seconds(30)));
  BOOST_TEST(assignment.LiveShare() == 1.0);
}

BOOST_AUTO_TEST_CASE(shards_move_only_from_a_node_that_left) {
  GrantorAssignment assignment(kShards, MakeMember(1));
  assignment.OnDirectory(4, At(seconds(1)));
  assignment.OnMembers(MembersWithout(1, 4), At(seconds(1)));
  std::vector<MemberId> before;
  for (std::uint32_t it = 0; it < kShards; ++it) {
    before.push_back(*assignment.GrantorOf(ShardIndex(it)));
  }
  assignment.OnMembers(MembersWithout(1, 3), At(seconds(2)));
  const MemberId gone = MakeMember(4).id;
  for (std::uint32_t it = 0; it < kShards; ++it) {
    const MemberId grantor = *assignment.GrantorOf(ShardIndex(it));
    BOOST_TEST((grantor == before[it] || before[it] == gone));
    BOOST_TEST(!(grantor == gone));
  }
}

BOOST_AUTO_TEST_CASE(a_new_grantor_starts_without_tokens) {
  RateSettings settings;
  settings.start_empty = true;
  RateLedger ledger(RateLimit{10, 10}, settings, At(seconds(1)));
  RateRequest request;
  request.sequence = RequestSequence(1);
  request.needed = 5;
  BOOST_TEST(ledger.Grant(MakeMember(1).id, request, At(seconds(1))) == 0);
  request.sequence = RequestSequence(2);
  BOOST_TEST(ledger.Grant(MakeMember(1).id, request,
                          At(seconds(1) + milliseconds(310))) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::rate
