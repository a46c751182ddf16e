// EntrySystem: what the configuration in force says of a request.
#include <algorithm>
#include <utility>

#include "node/entry_base.h"

namespace dogwoodrail::node {

using core::base::Importance;
using core::base::Reason;

namespace {

// Returns the lowest importance set on any account, or nullopt if none is set.
std::optional<Importance> LeastAccountImportance(
    const core::config::ConfigState& config) {
  std::optional<Importance> least;
  for (const auto& [name, account] : config.accounts()) {
    if (!account.importance) continue;
    least = std::min(least.value_or(*account.importance), *account.importance);
  }
  return least;
}

// Raises the importance of a route by the number of levels that the account is
// above the least important account, so that the routes of one account keep
// their relative order.
Importance RaiseBy(Importance importance, Importance account,
                   Importance least) {
  const int steps = static_cast<int>(account) - static_cast<int>(least);
  const int raised = static_cast<int>(importance) + std::max(steps, 0);
  return static_cast<Importance>(
      std::min(raised, static_cast<int>(Importance::kMoney)));
}

// Returns true if requests of the route may go to the service.
bool HasService(const core::config::Route& route,
                const core::base::ServiceName& service) {
  if (route.split.empty()) return route.service == service;
  return std::any_of(route.split.begin(), route.split.end(),
                     [&](const core::config::ServiceShare& it) {
                       return it.service == service && it.weight > 0;
                     });
}

}  // namespace

void EntrySystem::SetConfig(
    std::shared_ptr<const core::config::ConfigState> config) {
  config_ = std::move(config);
  least_account_importance_ =
      config_ ? LeastAccountImportance(*config_) : std::nullopt;
}

std::optional<EntrySystem::Refusal> EntrySystem::Identify(
    const CallerHeaders& headers, EntryCall& call) {
  call.identity.host = headers.host;
  call.identity.max_attempts = headers.max_attempts;
  if (headers.key) call.identity.key = ports_.hash_key(*headers.key);
  if (headers.timeout) call.caller_timeout = *headers.timeout;
  if (!config_) return Refusal{Reason::kNoConfiguration, ""};
  if (auto refusal = FindRoute(call)) return refusal;
  return headers.context ? IdentifyByContext(*headers.context, call)
                         : IdentifyByKey(call);
}

// The caller's timeout and attempt limit can only lower those of the route. The
// service that the call has is kept if the route still names it.
std::optional<EntrySystem::Refusal> EntrySystem::FindRoute(EntryCall& call) {
  call.config_number = config_->number();
  const auto* route =
      config_->MatchRoute(call.message.target, call.identity.host);
  if (route == nullptr) return Refusal{Reason::kUnknownRoute, ""};
  call.route = *route;
  if (!HasService(*route, call.service)) call.service = splits_.Pick(*route);
  call.importance = route->importance;
  call.deadline = call.received_at + route->timeout;
  if (call.caller_timeout) {
    call.deadline =
        std::min(call.deadline, call.received_at + *call.caller_timeout);
  }
  call.budget = core::attempt::AttemptBudget::FromRoute(
      route->max_attempts, call.identity.max_attempts);
  call.budget_at_start = call.budget.remaining();
  return std::nullopt;
}

// A call made by a running execution uses the execution's account, deadline and
// attempt budget. It also inherits the importance, because refusing it would
// waste the work already done for the original request.
std::optional<EntrySystem::Refusal> EntrySystem::IdentifyByContext(
    const std::string& context, EntryCall& call) {
  const Execution* parent = ports_.find_context(context);
  if (parent == nullptr) {
    return Refusal{Reason::kReservedHeader, "unknown context"};
  }
  call.parent = parent->index;
  call.request = parent->message.request;
  call.account = parent->message.account;
  call.importance = parent->message.importance;
  call.hop = static_cast<std::uint8_t>(parent->message.hop + 1);
  call.deadline = std::min(call.deadline, parent->deadline);
  return std::nullopt;
}

std::optional<EntrySystem::Refusal> EntrySystem::IdentifyByKey(
    EntryCall& call) {
  if (call.route.open_to_all && !call.identity.key) {
    const bool nested = ports_.dialect.infers_nested_calls &&
                        ports_.backend_is_busy && ports_.backend_is_busy();
    if (nested) call.hop = 1;
    return std::nullopt;
  }
  if (!call.identity.key) return Refusal{Reason::kNoKey, ""};
  if (!config_fresh_) return Refusal{Reason::kConfigurationStale, ""};
  const auto* key = config_->FindKey(*call.identity.key);
  const auto* account =
      key == nullptr ? nullptr : config_->FindAccount(key->account);
  if (account == nullptr) return Refusal{Reason::kUnknownKey, ""};
  call.account = key->account;
  if (least_account_importance_ && account->importance) {
    call.importance = RaiseBy(call.importance, *account->importance,
                              *least_account_importance_);
  }
  return std::nullopt;
}

std::optional<EntrySystem::Refusal> EntrySystem::Reidentify(EntryCall& call) {
  if (auto refusal = FindRoute(call)) return refusal;
  if (auto refusal = IdentifyByKey(call)) return refusal;
  call.fingerprint = MakeFingerprint(call);
  return std::nullopt;
}

bool EntrySystem::IsOutdated(const EntryCall& call) const {
  return config_ != nullptr && call.config_number != config_->number();
}

core::poison::Fingerprint EntrySystem::MakeFingerprint(
    const EntryCall& call) const {
  const core::poison::FingerprintSource source{
      call.account.value(), call.route.name.value(), call.message.method,
      call.message.target, call.message.body};
  return core::poison::MakeFingerprint(source, ports_.digest);
}

}  // namespace dogwoodrail::node
