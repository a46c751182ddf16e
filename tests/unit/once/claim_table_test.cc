#include "core/once/claim_table.h"

#include <boost/test/unit_test.hpp>

#include "core/once/claim_client.h"

namespace dogwoodrail::core::once {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr ShardIndex kShard{3};
constexpr WallTime kWall{milliseconds{1'800'000'000'000}};

MemberId Entry() {
  return MemberId{base::NodeAddress{"entry"}, base::Incarnation{1}};
}

TimePoint At(Duration since_start) { return TimePoint{since_start}; }

ClaimRequest MakeRequest(std::uint64_t number, std::uint64_t call,
                         WallTime created = kWall) {
  ClaimRequest request;
  request.shard = kShard;
  request.id = MakeClaimId(
      base::AccountName{"a"},
      DeriveIdempotencyKey({base::RequestId{std::to_string(number)}, created,
                            base::RouteName{"r"}, "/", 0}));
  request.request_digest = 5;
  request.nonce = ClaimNonce{base::Incarnation{1}, base::CallId{call}};
  request.time_left = seconds{1};
  return request;
}

// An owner without a standby whose shard is new.
struct Owner {
  explicit Owner(OnceSettings settings = {})
      : table(settings, [](ShardIndex, Epoch, TimePoint) { return true; }) {
    table.OnAuthorityGained(kShard, Epoch{2}, shard::History::kNone, At({}),
                            kWall);
  }

  ClaimAnswer Claim(const ClaimRequest& request, Duration at = {},
                    WallTime wall = kWall) {
    const ClaimMessages out = table.OnClaim(Entry(), request, At(at), wall);
    BOOST_TEST_REQUIRE(out.size() == 1U);
    return std::get<ClaimAnswer>(out[0].message);
  }

  void End(const ClaimRequest& request, base::Ran ran,
           const std::string& answer = {}) {
    table.OnOutcome(Entry(),
                    {request.shard, request.id, request.nonce, ran, answer},
                    At({}));
  }

  ClaimTable table;
};

BOOST_AUTO_TEST_SUITE(claim_table)

BOOST_AUTO_TEST_CASE(resend_is_answered_by_state) {
  Owner owner;
  const auto first = MakeRequest(1, 1);
  const auto resend = MakeRequest(1, 2);
  BOOST_TEST((owner.Claim(first).verdict == ClaimVerdict::kGranted));
  BOOST_TEST((owner.Claim(first).verdict == ClaimVerdict::kGranted));
  BOOST_TEST((owner.Claim(resend).verdict == ClaimVerdict::kInProgress));
  BOOST_TEST((owner.Claim(resend, minutes{1}).verdict ==
              ClaimVerdict::kOutcomeUnknown));
  owner.End(first, base::Ran::kRan, "paid");
  const ClaimAnswer replay = owner.Claim(resend);
  BOOST_TEST((replay.verdict == ClaimVerdict::kReplay));
  BOOST_TEST(replay.answer == "paid");
}

BOOST_AUTO_TEST_CASE(released_key_may_be_claimed_again_and_only_once) {
  Owner owner;
  const auto first = MakeRequest(1, 1);
  const auto second = MakeRequest(1, 2);
  owner.Claim(first);
  owner.End(first, base::Ran::kNotRun);
  BOOST_TEST((owner.Claim(second).verdict == ClaimVerdict::kGranted));
  owner.End(first, base::Ran::kNotRun);  // repeated release of the first grant
  BOOST_TEST(
      (owner.Claim(MakeRequest(1, 3)).verdict == ClaimVerdict::kInProgress));
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_not_released_afterwards) {
  Owner owner;
  const auto first = MakeRequest(1, 1);
  owner.Claim(first);
  owner.End(first, base::Ran::kUnknown);
  owner.End(first, base::Ran::kNotRun);
  BOOST_TEST((owner.Claim(MakeRequest(1, 2)).verdict ==
              ClaimVerdict::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(same_key_with_another_request_is_refused) {
  Owner owner;
  auto request = MakeRequest(1, 1);
  owner.Claim(request);
  request.request_digest = 6;
  request.nonce.call = base::CallId{2};
  BOOST_TEST((owner.Claim(request).verdict == ClaimVerdict::kOtherRequest));
}

BOOST_AUTO_TEST_CASE(creation_times_outside_the_window_are_refused) {
  Owner owner;
  BOOST_TEST((owner.Claim(MakeRequest(1, 1, kWall - minutes{11})).verdict ==
              ClaimVerdict::kOutcomeUnknown));
  BOOST_TEST((owner.Claim(MakeRequest(2, 2, kWall + seconds{6})).verdict ==
              ClaimVerdict::kCreatedInFuture));
  BOOST_TEST((owner.Claim(MakeRequest(3, 3, kWall + seconds{4})).verdict ==
              ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(after_a_gap_only_keys_created_later_run) {
  Owner owner;
  owner.table.OnAuthorityGained(kShard, Epoch{4}, shard::History::kGap, At({}),
                                kWall);
  BOOST_TEST((owner.Claim(MakeRequest(1, 1)).verdict ==
              ClaimVerdict::kOutcomeUnknown));
  const WallTime later = kWall + seconds{11};
  BOOST_TEST((owner.Claim(MakeRequest(2, 2, later), {}, later).verdict ==
              ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(full_table_refuses_new_claims_and_keeps_existing_ones) {
  OnceSettings settings;
  settings.max_claims = 3;
  Owner owner(settings);
  for (std::uint64_t it = 1; it <= 3; ++it) owner.Claim(MakeRequest(it, it));
  BOOST_TEST((owner.Claim(MakeRequest(4, 4)).verdict == ClaimVerdict::kFull));
  BOOST_TEST(
      (owner.Claim(MakeRequest(1, 9)).verdict == ClaimVerdict::kInProgress));
  const WallTime later = kWall + minutes{11};
  owner.table.Tick(At(minutes{11}), later);
  BOOST_TEST(owner.table.claim_count() == 0U);
  BOOST_TEST((owner.Claim(MakeRequest(1, 10), minutes{11}, later).verdict ==
              ClaimVerdict::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(stored_answers_stay_within_the_byte_limit) {
  OnceSettings settings;
  settings.max_answer_bytes = 100;
  settings.max_stored_answer_bytes = 250;
  Owner owner(settings);
  for (std::uint64_t it = 1; it <= 5; ++it) {
    owner.Claim(MakeRequest(it, it));
    owner.End(MakeRequest(it, it), base::Ran::kRan, std::string(100, 'x'));
  }
  BOOST_TEST(owner.table.answer_bytes() <= 250U);
  BOOST_TEST((owner.Claim(MakeRequest(1, 11)).verdict ==
              ClaimVerdict::kOutcomeUnknown));
  BOOST_TEST(
      (owner.Claim(MakeRequest(5, 12)).verdict == ClaimVerdict::kReplay));
}

BOOST_AUTO_TEST_CASE(late_duplicate_of_a_grant_releases_nothing) {
  ClaimClient client(OnceSettings{}, base::Incarnation{1});
  const ClaimCall call{base::CallId{1}, kShard, MakeRequest(1, 1).id, 5,
                       seconds{1}};
  client.Begin(call, At({}));
  const ClaimAnswer grant{
      {base::Incarnation{1}, base::CallId{1}}, ClaimVerdict::kGranted, {}};
  BOOST_TEST(client.OnAnswer(grant, At({})).size() == 1U);
  client.OnFinished(call.call, base::Ran::kUnknown, {}, At({}));
  client.OnOutcomeAck({grant.nonce});
  BOOST_TEST(client.OnAnswer(grant, At({})).empty());
  BOOST_TEST(client.size() == 0U);
}

BOOST_AUTO_TEST_CASE(call_without_a_verdict_is_not_reported_as_not_run) {
  ClaimClient client(OnceSettings{}, base::Incarnation{1});
  client.Begin({base::CallId{1}, kShard, MakeRequest(1, 1).id, 5, seconds{1}},
               At({}));
  bool refused = false;
  for (const ClaimAction& action : client.Tick(At(seconds{2}))) {
    const auto* refusal = std::get_if<RefuseCall>(&action);
    if (refusal == nullptr) continue;
    refused = true;
    BOOST_TEST((refusal->ran == base::Ran::kUnknown));
    BOOST_TEST((refusal->reason == base::Reason::kClaimUnavailable));
  }
  BOOST_TEST(refused);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::once
