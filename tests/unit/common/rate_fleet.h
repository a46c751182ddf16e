#ifndef DOGWOODRAIL_TESTS_UNIT_COMMON_RATE_FLEET_H_
#define DOGWOODRAIL_TESTS_UNIT_COMMON_RATE_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "core/rate/rate_grantor.h"
#include "core/rate/rate_limiter.h"
#include "tests/unit/common/shard_fleet.h"

namespace dogwoodrail::test {

using core::base::AccountName;
using core::base::CallId;
using core::rate::RateActions;
using core::rate::RateDecision;
using core::rate::RateGrantor;
using core::rate::RateLimit;
using core::rate::RateLimiter;
using core::rate::RateSettings;

// Creates the components of a node. Tests replace these functions to inject
// faulty components.
struct RateComponentFactory {
  TableFactory table = [](core::shard::ShardSettings settings,
                          const core::shard::Member& self, TimePoint now) {
    return std::make_unique<ShardTable>(settings, self, now);
  };
  std::function<std::unique_ptr<RateGrantor>(RateSettings,
                                             core::rate::RateAuthority)>
      grantor = [](RateSettings settings, core::rate::RateAuthority authority) {
        return std::make_unique<RateGrantor>(settings, std::move(authority));
      };
  std::function<std::unique_ptr<RateLimiter>(RateSettings, std::uint32_t)>
      limiter = [](RateSettings settings, std::uint32_t shards) {
        return std::make_unique<RateLimiter>(settings, shards);
      };
};

// Measures by how many calls rate and burst are exceeded in the worst window of
// time. A token bucket that starts full and may be overdrawn falls below zero
// if and only if some window exceeds them.
class RateConformance {
 public:
  explicit RateConformance(RateLimit limit)
      : limit_(limit), level_(static_cast<double>(limit.burst)) {}

  // Counts one admitted call. Times must not decrease.
  void Admit(TimePoint now) {
    Advance(now);
    level_ -= 1;
    worst_ = std::min(worst_, level_);
    ++admitted_;
  }
  // Returns true if a single token bucket for all nodes would admit a call now.
  bool WouldAdmit(TimePoint now) {
    Advance(now);
    return level_ >= 1;
  }
  // Returns the number of calls above the limit in the worst window.
  double Excess() const { return std::max(0.0, -worst_); }
  std::uint64_t admitted() const { return admitted_; }

 private:
  void Advance(TimePoint now) {
    const double span = std::chrono::duration<double>(now - last_).count();
    if (last_ != TimePoint()) level_ += span * limit_.rate_per_s;
    level_ = std::min(level_, static_cast<double>(limit_.burst));
    last_ = now;
  }

  RateLimit limit_;
  double level_;
  double worst_ = 0;
  std::uint64_t admitted_ = 0;
  TimePoint last_;
};

// Counts the calls of one account by outcome.
struct AccountStats {
  explicit AccountStats(RateLimit limit) : bound(limit), ideal(limit) {}

  RateConformance bound;  // admitted calls
  RateConformance ideal;  // calls that a single token bucket would admit
  std::uint64_t calls = 0;
  std::uint64_t in_rate = 0;  // calls that the ideal bucket admits
  std::uint64_t refused = 0;
  std::uint64_t held = 0;  // left pending at first
  std::uint64_t cut = 0;   // lost when their node stopped
};

// Simulates nodes with shard tables, grantors and limiters in virtual time.
class RateFleet {
 public:
  RateFleet(std::size_t size, std::uint64_t seed, RateComponentFactory factory,
            std::uint32_t shards = 4)
      : factory_(std::move(factory)),
        shards_(shards),
        components_(size),
        fleet(MakeSettings(shards), size, seed, factory_.table, kMaxDrift) {
    fleet.on_action = [this](std::size_t index,
                             const core::shard::ShardAction& action) {
      OnShardAction(index, action);
    };
    for (std::size_t it = 0; it < size; ++it) CreateComponents(it);
  }

  // Adds an account to the configuration of all nodes.
  void AddAccount(const AccountName& name, RateLimit limit) {
    limits_.insert_or_assign(name, limit);
    counts_.emplace(name, AccountStats(limit));
    for (std::size_t it = 0; it < components_.size(); ++it) Configure(it);
  }

  // Restarts a node's process.
  void Restart(std::size_t index) {
    fleet.Start(index);
    CreateComponents(index);
  }

  // Sends one call to a node. A paused node receives it when it resumes.
  void Call(std::size_t index, const AccountName& name) {
    const std::uint64_t incarnation =
        fleet.nodes[index]->self.id.incarnation.value();
    fleet.Arrive(index, incarnation,
                 [this, index, name] { Admit(index, name); });
  }

  void RunUntil(TimePoint end) {
    fleet.time.RunUntil(end, [] {});
  }
  void Run(Duration span) { RunUntil(fleet.time.now() + span); }

  AccountStats& count(const AccountName& name) { return counts_.at(name); }
  std::uint64_t rate_messages() const { return rate_messages_; }

 private:
  struct Components {
    std::unique_ptr<RateGrantor> grantor;
    std::unique_ptr<RateLimiter> limiter;
    std::map<std::uint64_t, AccountName> calls;
  };

  static constexpr double kMaxDrift = 0.0004;  // below max_drift_ppm
  static constexpr Duration kRateTick = std::chrono::milliseconds(5);

  static core::shard::ShardSettings MakeSettings(std::uint32_t shards) {
    core::shard::ShardSettings settings;
    settings.shard_count = shards;
    return settings;
  }

  void CreateComponents(std::size_t index) {
    Components& components = components_[index];
    core::rate::RateAuthority authority;
    authority.epoch = [this, index](ShardIndex shard, TimePoint now) {
      return fleet.nodes[index]->table->AuthorityEpoch(shard, now);
    };
    authority.standby = [this, index](ShardIndex shard, TimePoint now) {
      return fleet.nodes[index]->table->CurrentStandby(shard, now);
    };
    components.grantor = factory_.grantor(RateSettings(), authority);
    components.limiter = factory_.limiter(RateSettings(), shards_);
    components.calls.clear();
    Configure(index);
    RunTicks(index, fleet.nodes[index]->self.id.incarnation.value());
  }

  void Configure(std::size_t index) {
    for (const auto& [name, limit] : limits_) {
      components_[index].grantor->OnConfig(name, limit, fleet.Local(index));
      components_[index].limiter->OnConfig(name, limit);
    }
  }

  void RunTicks(std::size_t index, std::uint64_t incarnation) {
    auto& node = *fleet.nodes[index];
    if (!node.alive || node.self.id.incarnation.value() != incarnation) return;
    if (!node.paused) {
      components_[index].limiter->Tick(fleet.Local(index));
      ExecuteLimiterActions(index);
      Execute(index, components_[index].grantor->Tick(fleet.Local(index)));
    }
    fleet.time.After(kRateTick, [this, index, incarnation] {
      RunTicks(index, incarnation);
    });
  }

  void Count(const AccountName& name, const RateDecision& decision) {
    AccountStats& count = counts_.at(name);
    if (decision.verdict == RateDecision::Verdict::kAdmitted) {
      count.bound.Admit(fleet.time.now());
    } else if (decision.verdict == RateDecision::Verdict::kRefused) {
      ++count.refused;
    }
  }

  void Admit(std::size_t index, const AccountName& name) {
    AccountStats& count = counts_.at(name);
    ++count.calls;
    if (count.ideal.WouldAdmit(fleet.time.now())) {
      count.ideal.Admit(fleet.time.now());
      ++count.in_rate;
    }
    const CallId call(++last_call_);
    const auto decision =
        components_[index].limiter->Admit(name, call, fleet.Local(index));
    if (decision.verdict == RateDecision::Verdict::kPending) {
      ++count.held;
      components_[index].calls.emplace(call.value(), name);
    }
    Count(name, decision);
    ExecuteLimiterActions(index);
  }

  void ExecuteLimiterActions(std::size_t index) {
    Execute(index, components_[index].limiter->TakeActions());
  }

  template <typename Fn>
  void SendTo(std::size_t index, std::size_t to, Fn fn) {
    ++rate_messages_;
    if (to == index) {
      fn();
    } else {
      fleet.Transmit(index, to, fn);
    }
  }

  void Execute(std::size_t index, const RateActions& actions) {
    const MemberId self = fleet.nodes[index]->self.id;
    for (const auto& action : actions) {
      std::visit([&](const auto& it) { ExecuteAction(index, self, it); },
                 action);
    }
  }

  void ExecuteAction(std::size_t index, const MemberId& self,
                     const core::rate::SendRateRequest& send) {
    const auto owner =
        fleet.nodes[index]->table->KnownPrimary(send.request.shard);
    if (!owner) {
      fleet.nodes[index]->table->RequestOwner(send.request.shard,
                                              fleet.Local(index));
      return;
    }
    const std::size_t to = fleet.Find(owner->address);
    SendTo(index, to, [this, to, self, request = send.request] {
      Execute(to, components_[to].grantor->OnRequest(self, request,
                                                     fleet.Local(to)));
    });
  }
  void ExecuteAction(std::size_t index, const MemberId&,
                     const core::rate::SendRateReply& send) {
    const std::size_t to = fleet.Find(send.to.address);
    const MemberId target = send.to;
    SendTo(index, to, [this, to, target, reply = send.reply] {
      if (fleet.nodes[to]->self.id != target) return;
      components_[to].limiter->OnReply(reply, fleet.Local(to));
      ExecuteLimiterActions(to);
    });
  }
  void ExecuteAction(std::size_t index, const MemberId& self,
                     const core::rate::SendRateCopy& send) {
    const std::size_t to = fleet.Find(send.to.address);
    const MemberId target = send.to;
    SendTo(index, to, [this, to, self, target, copy = send.copy] {
      if (fleet.nodes[to]->self.id != target) return;
      Execute(to, components_[to].grantor->OnCopy(self, copy, fleet.Local(to)));
    });
  }
  void ExecuteAction(std::size_t index, const MemberId& self,
                     const core::rate::SendRateCopyAck& send) {
    const std::size_t to = fleet.Find(send.to.address);
    SendTo(index, to, [this, to, self, ack = send.ack] {
      Execute(to,
              components_[to].grantor->OnCopyAck(self, ack, fleet.Local(to)));
    });
  }
  void ExecuteAction(std::size_t index, const MemberId&,
                     const core::rate::ResolveCall& resolve) {
    auto& calls = components_[index].calls;
    const auto it = calls.find(resolve.call.value());
    if (it == calls.end()) return;
    Count(it->second, resolve.decision);
    calls.erase(it);
  }
  void ExecuteAction(std::size_t index, const MemberId&,
                     const core::rate::RefreshShardOwner& needed) {
    fleet.nodes[index]->table->RequestOwner(needed.shard, fleet.Local(index));
  }

  void OnShardAction(std::size_t index,
                     const core::shard::ShardAction& action) {
    if (!components_[index].grantor) return;
    RateGrantor& grantor = *components_[index].grantor;
    const TimePoint now = fleet.Local(index);
    if (const auto* gained =
            std::get_if<core::shard::AuthorityGained>(&action)) {
      grantor.OnAuthorityGained(gained->shard, gained->epoch, gained->history,
                                now);
    } else if (const auto* changed =
                   std::get_if<core::shard::StandbyChanged>(&action)) {
      Execute(index,
              grantor.OnStandbyChanged(changed->shard, changed->standby, now));
    } else if (const auto* owner =
                   std::get_if<core::shard::OwnerChanged>(&action)) {
      const MemberId self = fleet.nodes[index]->self.id;
      const auto& record = owner->record;
      const bool in_pair = record.primary == self || record.standby == self;
      grantor.OnOwnerChanged(record.shard, in_pair);
    }
  }

  RateComponentFactory factory_;
  std::uint32_t shards_;
  std::vector<Components> components_;
  std::map<AccountName, RateLimit> limits_;
  std::map<AccountName, AccountStats> counts_;
  std::uint64_t last_call_ = 0;
  std::uint64_t rate_messages_ = 0;

 public:
  ShardFleet fleet;
};

}  // namespace dogwoodrail::test

#endif  // DOGWOODRAIL_TESTS_UNIT_COMMON_RATE_FLEET_H_
