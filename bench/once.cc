// Prints the cost of idempotency claims by number of claims: time of each step
// of a call, memory per claim and messages per call.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <vector>

#include "core/once/claim_table.h"

namespace dogwoodrail::core::once {
namespace {

using Clock = std::chrono::steady_clock;

constexpr ShardIndex kShard{0};
constexpr Epoch kEpoch{2};
constexpr WallTime kWall{std::chrono::milliseconds{1'800'000'000'000}};
constexpr std::size_t kSizes[] = {1'000, 10'000, 100'000, 1'000'000};

// An owner and a standby that exchange messages without delay.
struct ReplicaPair {
  explicit ReplicaPair(const OnceSettings& settings)
      : owner(settings, [](ShardIndex, Epoch, TimePoint) { return true; }),
        standby(settings, [](ShardIndex, Epoch, TimePoint) { return false; }) {
    owner.OnAuthorityGained(kShard, kEpoch, shard::History::kNone, now, kWall);
    Deliver(owner.OnStandbyChanged(kShard, kEpoch, standby_id, now));
  }

  // Delivers messages and the replies to them until none is left. Returns the
  // number of messages.
  std::size_t Deliver(const ClaimMessages& messages) {
    std::size_t count = messages.size();
    for (const SendClaimMessage& it : messages) {
      if (const auto* copy = std::get_if<ClaimCopy>(&it.message)) {
        count += Deliver(standby.OnCopy(owner_id, *copy, now));
      } else if (const auto* ack = std::get_if<ClaimCopyAck>(&it.message)) {
        count += Deliver(owner.OnCopyAck(standby_id, *ack, now));
      }
    }
    return count;
  }

  TimePoint now{std::chrono::seconds{1}};
  MemberId owner_id{base::NodeAddress{"owner"}, base::Incarnation{1}};
  MemberId standby_id{base::NodeAddress{"standby"}, base::Incarnation{2}};
  MemberId entry_id{base::NodeAddress{"entry"}, base::Incarnation{3}};
  ClaimTable owner;
  ClaimTable standby;
};

ClaimRequest MakeRequest(std::uint64_t number) {
  ClaimRequest request;
  request.shard = kShard;
  request.id.account_hash = 1;
  request.id.key =
      DeriveIdempotencyKey({base::RequestId{std::to_string(number)}, kWall,
                            base::RouteName{"r"}, "/", number});
  request.nonce = ClaimNonce{base::Incarnation{3}, base::CallId{number}};
  request.time_left = std::chrono::seconds{2};
  return request;
}

double NsPerClaim(Clock::time_point since, std::size_t count) {
  const std::chrono::duration<double, std::nano> elapsed = Clock::now() - since;
  return elapsed.count() / static_cast<double>(count);
}

void PrintRow(std::size_t claims) {
  OnceSettings settings;
  settings.max_claims = 2 * claims;
  std::vector<ClaimRequest> requests;
  requests.reserve(claims);
  for (std::size_t it = 0; it < claims; ++it) {
    requests.push_back(MakeRequest(it));
  }
  const std::size_t before = mallinfo2().uordblks;
  ReplicaPair pair(settings);
  std::size_t messages = 0;
  auto start = Clock::now();
  for (const ClaimRequest& it : requests) {
    messages += 1 + pair.Deliver(
                        pair.owner.OnClaim(pair.entry_id, it, pair.now, kWall));
  }
  const double claim_ns = NsPerClaim(start, claims);
  const std::size_t bytes = mallinfo2().uordblks - before;
  start = Clock::now();
  for (const ClaimRequest& it : requests) {
    const ClaimOutcome outcome{kShard, it.id, it.nonce, base::Ran::kRan, {}};
    messages += 1 + pair.Deliver(
                        pair.owner.OnOutcome(pair.entry_id, outcome, pair.now));
  }
  const double outcome_ns = NsPerClaim(start, claims);
  start = Clock::now();
  for (const ClaimRequest& it : requests) {
    pair.owner.OnClaim(pair.entry_id, it, pair.now, kWall);
  }
  const double resend_ns = NsPerClaim(start, claims);
  start = Clock::now();
  pair.owner.Tick(pair.now, kWall + std::chrono::minutes{20});
  const double forget_ns = NsPerClaim(start, claims);
  const auto per_claim = [claims](std::size_t n) {
    return static_cast<double>(n) / static_cast<double>(claims);
  };
  std::printf("%9zu %10.0f %12.0f %11.0f %11.0f %14.0f %10.1f\n", claims,
              claim_ns, outcome_ns, resend_ns, forget_ns, per_claim(bytes) / 2,
              per_claim(messages));
}

}  // namespace
}  // namespace dogwoodrail::core::once

int main() {
  std::printf("%9s %10s %12s %11s %11s %14s %10s\n", "claims", "claim_ns",
              "outcome_ns", "resend_ns", "forget_ns", "bytes_a_node",
              "messages");
  for (const std::size_t size : dogwoodrail::core::once::kSizes) {
    dogwoodrail::core::once::PrintRow(size);
  }
  return 0;
}
