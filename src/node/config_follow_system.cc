#include "node/config_follow_system.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "core/spread/reader_choice.h"
#include "wire/spread_codec.h"

namespace dogwoodrail::node {

namespace spread = core::spread;
using core::base::EventNumber;
using core::base::NodeAddress;
using core::config::ConfirmSource;
using core::config::FollowResult;

namespace {

using Millis = std::chrono::milliseconds::rep;

constexpr std::chrono::milliseconds kRunInterval(20);
constexpr std::chrono::milliseconds kViewInterval(500);
constexpr std::chrono::milliseconds kStartViewInterval(40);

template <typename Number>
std::string NumberText(Number number) {
  return std::to_string(number.value());
}

const char* ConfirmSourceText(ConfirmSource source) {
  switch (source) {
    case ConfirmSource::kNone:
      return "none";
    case ConfirmSource::kRead:
      return "read";
    case ConfirmSource::kWatch:
      return "watch";
    case ConfirmSource::kPeer:
      return "peer";
  }
  return "";
}

const char* FollowResultText(FollowResult result) {
  switch (result) {
    case FollowResult::kRead:
      return "read";
    case FollowResult::kChanged:
      return "changed";
    case FollowResult::kUnchanged:
      return "unchanged";
    case FollowResult::kHistoryGone:
      return "history_gone";
    case FollowResult::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace

ConfigFollowSystem::ConfigFollowSystem(const HostSettings& settings,
                                       std::uint64_t seed, Node& node,
                                       const HostPorts& ports,
                                       core::base::EventSink emit)
    : node_(node),
      ports_(ports),
      emit_(std::move(emit)),
      settings_(settings.relay),
      relay_(
          settings.relay, settings.follow,
          [this](const spread::Snapshot& it) { return ApplySnapshot(it); },
          seed),
      random_(seed) {
  node_.links().SetHandler(
      wire::FrameKind::kSpread,
      [this](wire::LinkId from, const wire::Bytes& payload) {
        OnFrame(from, payload);
      });
  node_.AddMetricsSource([this](std::ostream& out) { WriteMetrics(out); });
}

void ConfigFollowSystem::Tick(TimePoint now) {
  if (now < next_run_) return;
  next_run_ = now + kRunInterval;
  Run(now);
}

void ConfigFollowSystem::Run(TimePoint now) {
  ReportSettled(now);
  UpdateFreshness(now);
  UpdateView(now);
  Execute(relay_.Tick(view_, now));
}

void ConfigFollowSystem::ReportSettled(TimePoint now) {
  if (settled_ || !relay_.is_settled()) return;
  settled_ = true;
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      relay_.StartTime(now));
  emit_({EventNumber::kConfigurationCompared,
         {},
         {},
         "in_force=" + NumberText(relay_.in_force()) +
             " waited_ms=" + std::to_string(waited.count()) +
             " by=" + (relay_.compared_with_peer() ? "peer" : "timeout")});
}

void ConfigFollowSystem::UpdateView(TimePoint now) {
  const bool is_starting =
      !relay_.is_settled() && relay_.in_force() != core::base::TicketNumber();
  const auto interval = is_starting ? kStartViewInterval : kViewInterval;
  if (now - view_updated_at_ < interval) return;
  view_updated_at_ = now;
  const core::member::MemberTable& members = node_.members().table();
  view_ = spread::MakeRelayView(
      members.store(), members.self(), settings_,
      [this](const NodeAddress& it) { return relay_.IsExcluded(it); });
  if (!is_starting) return;
  view_.others = std::max<std::size_t>(members.live_count(), 1) - 1;
  view_.witnesses = spread::ChooseWitnesses(
      members.store(), members.self(), settings_.start_witnesses, &random_);
}

void ConfigFollowSystem::Execute(spread::RelayActions actions) {
  for (const spread::SendQuery& it : actions.queries) {
    (void)node_.links().Send(it.to, wire::EncodeSpread(it.query));
  }
  for (const spread::SendAnswer& it : actions.answers) {
    const auto link = query_links_.find(it.to);
    if (link == query_links_.end()) continue;
    const auto sent =
        node_.links().Reply(link->second, wire::EncodeSpread(it.answer));
    if (!sent) query_links_.erase(link);
  }
  if (actions.era_change) OnEraChange(*actions.era_change);
  if (!actions.store_call) return;
  ++store_calls_;
  ports_.follow_config(*actions.store_call, [this, call = *actions.store_call](
                                                const ConfigAnswer& answer) {
    OnAnswer(call, answer, Node::Now());
  });
}

void ConfigFollowSystem::OnFrame(wire::LinkId from,
                                 const wire::Bytes& payload) {
  const auto message = wire::DecodeSpread(payload);
  if (!message) return node_.links().Refuse(from, message.error().detail);
  const wire::LinkPeer* peer = node_.links().PeerOf(from);
  if (peer == nullptr) return;
  const NodeAddress address = peer->address;
  const TimePoint now = Node::Now();
  if (const auto* query = std::get_if<spread::PeerQuery>(&*message)) {
    query_links_[address] = from;
    return Execute(relay_.OnQuery(address, *query, now));
  }
  Execute(
      relay_.OnAnswer(address, std::get<spread::PeerAnswer>(*message), now));
}

// Logs when the configuration becomes stale, because requests with a key are
// refused from then on.
void ConfigFollowSystem::UpdateFreshness(TimePoint now) {
  if (!relay_.is_settled()) return;
  const bool fresh = relay_.IsFresh(now);
  if (fresh == fresh_ || !node_.config()) return;
  fresh_ = fresh;
  if (fresh) return;
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(relay_.Age(now));
  emit_({EventNumber::kConfigurationStale,
         {},
         {},
         "age_ms=" + std::to_string(age.count()) +
             " confirmed_by=" + ConfirmSourceText(relay_.confirmed_by()) +
             " era=" + NumberText(relay_.era()) +
             " in_force=" + NumberText(relay_.in_force())});
}

void ConfigFollowSystem::OnStoreEra(core::config::StoreEra era) {
  Execute(relay_.OnStoreEra(era, Node::Now()));
}

void ConfigFollowSystem::OnEraChange(
    const core::config::StoreEraChange& change) {
  ++era_changes_;
  emit_({EventNumber::kStoreEraChanged,
         {},
         {},
         "era=" + NumberText(change.after) +
             " before=" + NumberText(change.before) +
             " in_force=" + NumberText(relay_.in_force())});
  if (on_era_change_) on_era_change_(Node::Now());
}

void ConfigFollowSystem::OnAnswer(const core::config::FollowCall& call,
                                  const ConfigAnswer& answer, TimePoint now) {
  const bool failed = answer.result == FollowResult::kFailed;
  if (failed) ++store_failures_;
  ReportAnswer(call, answer);
  UpdateStoreReachable(!failed, answer.detail);
  ReportUnused(answer);
  std::optional<spread::Snapshot> snapshot;
  if (answer.config) {
    Activate(answer.config);
    snapshot = spread::Snapshot{answer.config->number(), answer.body};
  }
  Execute(relay_.OnStoreResult(call.id, answer.result, answer.position,
                               std::move(snapshot), now));
  Run(now);
}

bool ConfigFollowSystem::ApplySnapshot(const spread::Snapshot& snapshot) {
  auto config = ports_.decode_config(snapshot.body);
  if (!config) {
    emit_({EventNumber::kConfigurationRefused,
           {},
           {},
           "cause=" + config.error().detail});
    return false;
  }
  if (config->number() != snapshot.number) return false;
  Activate(
      std::make_shared<const core::config::ConfigState>(std::move(*config)));
  return true;
}

// Ignores a configuration older than the active one: a running node never
// reverts to an earlier configuration.
void ConfigFollowSystem::Activate(
    const std::shared_ptr<const core::config::ConfigState>& config) {
  const auto& current = node_.config();
  const bool newer = !current || current->number() < config->number();
  if (newer) node_.SetConfig(config);
}

void ConfigFollowSystem::ReportAnswer(const core::config::FollowCall& call,
                                      const ConfigAnswer& answer) {
  if (answer.result == FollowResult::kFailed) return;
  const bool same = answer.result == FollowResult::kUnchanged;
  if (same && store_reached_) return;
  emit_({EventNumber::kConfigurationRead,
         {},
         {},
         "result=" + std::string(FollowResultText(answer.result)) +
             (call.watch ? " after=" + NumberText(call.after.revision) +
                               " after_era=" + NumberText(call.after.era)
                         : "") +
             " era=" + NumberText(answer.position.era) +
             " revision=" + NumberText(answer.position.revision) + " read=" +
             (answer.config ? NumberText(answer.config->number()) : "none") +
             " in_force=" + NumberText(relay_.in_force())});
}

void ConfigFollowSystem::ReportUnused(const ConfigAnswer& answer) {
  std::string cause;
  if (answer.config) {
    if (!(answer.config->number() < relay_.in_force())) return;
    cause = "older number=" + NumberText(answer.config->number());
  } else {
    if (answer.result == FollowResult::kFailed) return;
    if (answer.detail.empty()) return;
    cause = answer.detail;
  }
  emit_({EventNumber::kConfigurationRefused,
         {},
         {},
         "cause=" + cause + " era=" + NumberText(answer.position.era) +
             " in_force=" + NumberText(relay_.in_force())});
}

void ConfigFollowSystem::UpdateStoreReachable(bool reached,
                                              const std::string& detail) {
  if (reached == store_reached_) return;
  store_reached_ = reached;
  emit_({reached ? EventNumber::kPlatformRestored : EventNumber::kPlatformLost,
         {},
         {},
         reached ? "" : "cause=" + detail});
}

void ConfigFollowSystem::WriteMetrics(std::ostream& out) const {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      relay_.Age(Node::Now()));
  WriteMetric(out, "dogwoodrail_configuration_age_ms", "gauge",
              "Time since the store last confirmed the configuration.",
              static_cast<std::uint64_t>(std::max(age.count(), Millis{0})));
  WriteMetric(out, "dogwoodrail_configuration_reader", "gauge",
              "1 if this node reads the configuration for its zone.",
              view_.is_reader ? 1 : 0);
  WriteMetric(out, "dogwoodrail_configuration_sources", "gauge",
              "Nodes that this node asks to confirm the configuration.",
              view_.sources.size());
  WriteMetric(out, "dogwoodrail_configuration_store_calls_total", "counter",
              "Reads and watches of the configuration in the store.",
              store_calls_);
  WriteMetric(out, "dogwoodrail_configuration_store_failures_total", "counter",
              "Of these, those that failed.", store_failures_);
  WriteMetric(out, "dogwoodrail_store_era", "gauge",
              "Era of the store; rises when it comes back from an older copy.",
              relay_.era().value());
  WriteMetric(out, "dogwoodrail_store_era_changes_total", "counter",
              "Rises of the store's era that this process has seen.",
              era_changes_);
}

}  // namespace dogwoodrail::node
