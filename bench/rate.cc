// Prints the cost of rate limiting: time of a call and of a refill, memory, and
// messages by number of nodes and calls of one account.
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/base/random_type.h"
#include "core/rate/rate_grantor.h"
#include "core/rate/rate_limiter.h"
#include "core/shard/shard_func.h"
#include "wire/rate_codec.h"

namespace dogwoodrail::core::rate {
namespace {

using base::Incarnation;
using base::NodeAddress;
using shard::History;

constexpr std::uint32_t kShards = 64;
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kSpan = std::chrono::seconds(5);
AccountName TestAccount() { return AccountName("account"); }

MemberId MakeMember(std::size_t n) {
  return {NodeAddress("10.0." + std::to_string(n / 256) + "." +
                      std::to_string(n % 256) + ":7000"),
          Incarnation(n + 1)};
}

// Returns a grantor that owns all shards and has no standby.
std::unique_ptr<RateGrantor> MakeGrantor() {
  RateAuthority authority;
  authority.epoch = [](ShardIndex, TimePoint) { return Epoch(2); };
  authority.standby = [](ShardIndex, TimePoint) { return std::nullopt; };
  auto grantor = std::make_unique<RateGrantor>(RateSettings(), authority);
  for (std::uint32_t it = 0; it < kShards; ++it) {
    grantor->OnAuthorityGained(ShardIndex(it), Epoch(2), History::kNone,
                               TimePoint());
  }
  return grantor;
}

double NsPerRound(std::size_t n, const std::function<void(std::size_t)>& fn) {
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t it = 0; it < n; ++it) fn(it);
  const std::chrono::duration<double, std::nano> span =
      std::chrono::steady_clock::now() - begin;
  return span.count() / static_cast<double>(n);
}

// Prints the time of calls that are admitted from tokens held by the node.
void PrintAdmit() {
  constexpr std::size_t kCalls = 1'000'000;
  RateLimiter limiter(RateSettings(), kShards);
  limiter.OnConfig(TestAccount(), RateLimit{1e9, 4'000'000'000});
  (void)limiter.Admit(TestAccount(), CallId(1), TimePoint());
  const auto actions = limiter.TakeActions();
  RateReply reply;
  reply.account = TestAccount();
  reply.epoch = Epoch(2);
  reply.sequence = std::get<SendRateRequest>(actions.front()).request.sequence;
  reply.granted = 2'000'000'000;
  limiter.OnReply(reply, TimePoint());
  std::size_t admitted = 0;
  const double nanos = NsPerRound(kCalls, [&](std::size_t it) {
    const TimePoint now(Duration(static_cast<std::int64_t>(it)));
    const auto decision = limiter.Admit(TestAccount(), CallId(it), now);
    if (decision.verdict == RateDecision::Verdict::kAdmitted) ++admitted;
  });
  std::printf("admit from held tokens    %8.0f ns (%zu admitted)\n", nanos,
              admitted);
}

// Prints the time that the grantor takes for the request of one of many
// holders.
void PrintRefill(std::size_t holders) {
  constexpr std::size_t kRequests = 200'000;
  const auto grantor = MakeGrantor();
  grantor->OnConfig(TestAccount(), RateLimit{1e9, 1'000'000'000}, TimePoint());
  std::vector<MemberId> members;
  for (std::size_t it = 0; it < holders; ++it) {
    members.push_back(MakeMember(it));
  }
  RateRequest request;
  request.account = TestAccount();
  request.shard = shard::ShardOf(TestAccount().value(), kShards);
  request.needed = 1;
  request.wanted = 10;
  std::size_t answers = 0;
  const double nanos = NsPerRound(kRequests, [&](std::size_t it) {
    request.sequence = RequestSequence(it / holders + 1);
    const TimePoint now(Duration(static_cast<std::int64_t>(it)));
    answers += grantor->OnRequest(members[it % holders], request, now).size();
  });
  std::printf("refill, %6zu holders    %8.0f ns (%zu answers)\n", holders,
              nanos, answers);
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

void PrintMemory() {
  constexpr std::size_t kCount = 10'000;
  std::size_t before = HeapBytes();
  RateLimiter limiter(RateSettings(), kShards);
  for (std::size_t it = 0; it < kCount; ++it) {
    const AccountName name("account-" + std::to_string(it));
    limiter.OnConfig(name, RateLimit{100, 100});
    (void)limiter.Admit(name, CallId(it), TimePoint());
    (void)limiter.TakeActions();
  }
  std::printf("entry, bytes per account  %8zu\n",
              (HeapBytes() - before) / kCount);
  before = HeapBytes();
  const auto grantor = MakeGrantor();
  RateRequest request;
  request.sequence = RequestSequence(1);
  request.wanted = 1;
  for (std::size_t it = 0; it < kCount; ++it) {
    request.account = AccountName("account-" + std::to_string(it));
    request.shard = shard::ShardOf(request.account.value(), kShards);
    grantor->OnConfig(request.account, RateLimit{100, 100}, TimePoint());
    (void)grantor->OnRequest(MakeMember(0), request, TimePoint());
  }
  std::printf("grantor, bytes per account%8zu\n",
              (HeapBytes() - before) / kCount);
  before = HeapBytes();
  for (std::size_t it = 1; it <= kCount; ++it) {
    (void)grantor->OnRequest(MakeMember(it), request, TimePoint());
  }
  std::printf("grantor, bytes per holder %8zu\n",
              (HeapBytes() - before) / kCount);
}

// Simulates one account on many nodes in virtual time with no network latency.
// For each reply that grants tokens, a copy to the standby and its
// acknowledgement are counted as well.
class TrafficSimulation {
 public:
  TrafficSimulation(std::size_t nodes, double calls_per_s)
      : random_(1), calls_per_s_(calls_per_s), grantor_(MakeGrantor()) {
    const RateLimit limit{calls_per_s * 1.25, static_cast<Tokens>(calls_per_s)};
    grantor_->OnConfig(TestAccount(), limit, TimePoint());
    holders_.assign(nodes, RateLimiter(RateSettings(), kShards));
    for (std::size_t it = 0; it < nodes; ++it) {
      members_.push_back(MakeMember(it));
      holders_[it].OnConfig(TestAccount(), limit);
    }
  }

  void Run() {
    TimePoint next_call;
    for (TimePoint now; now < TimePoint(kSpan); now += kTick) {
      for (; next_call <= now; next_call += NextInterval()) {
        const std::size_t node = base::RandomBelow(random_, holders_.size());
        const auto decision =
            holders_[node].Admit(TestAccount(), CallId(++calls_), now);
        if (decision.verdict == RateDecision::Verdict::kRefused) ++refused_;
        Flush(node, now);
      }
      for (std::size_t it = 0; it < holders_.size(); ++it) {
        holders_[it].Tick(now);
        Flush(it, now);
      }
    }
  }

  void Print() const {
    const double span = std::chrono::duration<double>(kSpan).count();
    const auto calls = static_cast<double>(calls_);
    const auto messages = static_cast<double>(messages_);
    const auto bytes = static_cast<double>(bytes_);
    const auto nodes = static_cast<double>(holders_.size());
    std::printf("%7zu %9.0f %12.0f %14.2f %14.1f %12.3f\n", holders_.size(),
                calls_per_s_, messages / span, messages / calls,
                bytes / span / nodes,
                static_cast<double>(refused_) / calls * 100);
  }

 private:
  Duration NextInterval() {
    const double interval =
        -std::log(1 - base::RandomUnit(random_)) / calls_per_s_;
    return Duration(static_cast<std::int64_t>(interval * 1e6));
  }

  void Count(const wire::RateMessage& message) {
    ++messages_;
    bytes_ += wire::EncodeRate({Incarnation(1), message}).size();
  }

  void CountCopy(std::size_t node) {
    RateCopy copy;
    copy.account = TestAccount();
    copy.holders.push_back({members_[node], {}, 1, 1, 1, Duration(1)});
    Count(copy);
    Count(RateCopyAck{copy.kind, copy.shard, copy.epoch, TestAccount(),
                      copy.index, true});
  }

  void Flush(std::size_t node, TimePoint now) {
    for (auto actions = holders_[node].TakeActions(); !actions.empty();
         actions = holders_[node].TakeActions()) {
      for (const auto& action : actions) Execute(node, action, now);
    }
  }

  void Execute(std::size_t node, const RateAction& action, TimePoint now) {
    if (const auto* resolved = std::get_if<ResolveCall>(&action)) {
      const auto verdict = resolved->decision.verdict;
      if (verdict == RateDecision::Verdict::kRefused) ++refused_;
    }
    const auto* send = std::get_if<SendRateRequest>(&action);
    if (send == nullptr) return;
    Count(send->request);
    for (const auto& answer :
         grantor_->OnRequest(members_[node], send->request, now)) {
      const RateReply& reply = std::get<SendRateReply>(answer).reply;
      Count(reply);
      if (reply.granted > 0) CountCopy(node);
      holders_[node].OnReply(reply, now);
    }
  }

  base::Random random_;
  double calls_per_s_;
  std::unique_ptr<RateGrantor> grantor_;
  std::vector<RateLimiter> holders_;
  std::vector<MemberId> members_;
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

void PrintTraffic() {
  std::printf("\n%7s %9s %12s %14s %14s %12s\n", "nodes", "calls/s",
              "messages/s", "messages/call", "bytes/s/node", "refused %");
  for (const std::size_t nodes : {10, 100, 1000, 22'000}) {
    for (const double calls_per_s : {1'000.0, 10'000.0, 100'000.0}) {
      TrafficSimulation traffic(nodes, calls_per_s);
      traffic.Run();
      traffic.Print();
    }
  }
}

}  // namespace
}  // namespace dogwoodrail::core::rate

int main() {
  using namespace dogwoodrail::core::rate;  // NOLINT
  PrintAdmit();
  for (const std::size_t holders : {10, 1000, 22'000}) PrintRefill(holders);
  PrintMemory();
  PrintTraffic();
  return 0;
}
