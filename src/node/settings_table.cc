#include "node/settings_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/base/event_table.h"

namespace dogwoodrail::node {
namespace {

using core::base::Duration;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Returns an accessor for a nested member, given as a path of member pointers.
template <typename... Members>
auto Access(Members... members) {
  return [=](auto& settings) -> auto& { return (settings.*....*members); };
}

template <typename... Members>
SettingKind Time(Duration min, Duration max, Members... members) {
  const auto access = Access(members...);
  return TimeSetting{
      [access](const Settings& settings) {
        return std::chrono::duration_cast<Duration>(access(settings));
      },
      [access](Settings& settings, Duration time) {
        auto& member = access(settings);
        using Member = std::decay_t<decltype(member)>;
        member = std::chrono::duration_cast<Member>(time);
      },
      min, max};
}

template <typename... Members>
SettingKind Count(std::uint64_t min, std::uint64_t max, Members... members) {
  const auto access = Access(members...);
  return CountSetting{[access](const Settings& settings) {
                        return static_cast<std::uint64_t>(access(settings));
                      },
                      [access](Settings& settings, std::uint64_t n) {
                        auto& member = access(settings);
                        member = static_cast<std::decay_t<decltype(member)>>(n);
                      },
                      min, max};
}

template <typename... Members>
SettingKind Number(double min, double max, Members... members) {
  return NumberSetting{Access(members...), min, max};
}

template <typename... Members>
SettingKind Flag(Members... members) {
  return FlagSetting{Access(members...)};
}

template <typename... Members>
SettingKind Endpoint(Members... members) {
  return EndpointSetting{Access(members...)};
}

template <typename... Members>
SettingKind Name(Members... members) {
  const auto access = Access(members...);
  return NameSetting{
      [access](const Settings& settings) { return access(settings).value(); },
      [access](Settings& settings, std::string text) {
        auto& member = access(settings);
        member = std::decay_t<decltype(member)>(std::move(text));
      }};
}

std::vector<std::string> CategoryNames() {
  std::vector<std::string> names;
  for (const auto it : core::base::EventCategories()) {
    names.emplace_back(core::base::EventCategoryText(it));
  }
  return names;
}

using Identity = IdentitySettings;
using Platform = PlatformSettings;
using Caller = http::CallerServerSettings;
using Backend = http::BackendClientSettings;
using Link = wire::LinkSettings;
using Serving = ServingSettings;
using Limit = core::admission::LimitSettings;
using Admission = core::admission::AdmissionSettings;
using RouteChoice = core::route::RouteSettings;
using Member = core::member::MemberSettings;
using Spread = core::spread::SpreadSettings;
using Throttle = core::route::ThrottleSettings;
using Retry = core::attempt::RetrySettings;
using Shard = core::shard::ShardSettings;
using Rate = core::rate::RateSettings;
using Once = core::once::OnceSettings;
using Poison = core::poison::PoisonSettings;
using Chain = core::chain::ChainSettings;
using Host = HostSettings;
using Follow = core::config::FollowSettings;
using Relay = core::spread::RelaySettings;
using Watch = core::backend::BackendWatchSettings;
using StopSettings = core::stop::StopSettings;

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;
constexpr bool kRequired = true;
constexpr bool kOptional = false;
constexpr auto kRunning = core::reload::SettingEffect::kWhileRunning;
constexpr auto kAtStart = core::reload::SettingEffect::kNextStart;

// clang-format off
std::vector<SettingRow> MakeTable() {
  const auto node = &Settings::identity;
  const auto platform = &Settings::platform;
  const auto caller = &Settings::caller;
  const auto backend = &Settings::backend;
  const auto link = &Settings::links;
  const auto admission = &Settings::admission;
  const auto chain = &Settings::chain;
  const auto route = &Settings::route;
  const auto member = &Settings::member;
  const auto spread = &Settings::spread;
  const auto shard = &Settings::shard;
  const auto rate = &Settings::rate;
  const auto once = &Settings::once;
  const auto poison = &Settings::poison;
  const auto host = &Settings::host;
  return {
      {"node", "caller", kRequired, kAtStart, Endpoint(node, &Identity::caller_address), "address for HTTP requests of callers"},
      {"node", "peer", kRequired, kAtStart, Endpoint(node, &Identity::peer_address), "address for other nodes, TCP and UDP; it identifies the node to them"},
      {"node", "peer_listen", kOptional, kAtStart, Endpoint(node, &Identity::peer_listen), "address to bind for other nodes if a relay listens at peer; empty: peer"},
      {"node", "operator", kRequired, kAtStart, Endpoint(node, &Identity::operator_address), "address for operators, metrics and announcements of the backend server"},
      {"node", "zone", kRequired, kAtStart, Name(node, &Identity::zone), "availability zone of the VM"},
      {"node", "region", kOptional, kAtStart, Name(node, &Identity::region), "region of the availability zone"},
      {"node", "memory_bytes", kOptional, kAtStart, Count(kMinMemoryBytes, kMaxMemoryBytes, node, &Identity::memory_bytes), "memory that the process may use; a third of it is for messages"},
      {"peers", "seeds", kOptional, kAtStart, EndpointListSetting{Access(&Settings::seeds)}, "peer addresses of the nodes contacted at start to learn the members"},
      {"peers", "suspicion_min", kOptional, kAtStart, Time(seconds(1), minutes(5), member, &Member::suspicion_min), "time in which a node can refute a suspicion confirmed by several nodes"},
      {"peers", "suspicion_max", kOptional, kAtStart, Time(seconds(1), minutes(5), member, &Member::suspicion_max), "time in which a node can refute a suspicion of one node"},
      {"peers", "pause_limit", kOptional, kAtStart, Time(milliseconds(500), minutes(5), member, &Member::pause_limit), "length of a pause of the process after which the members are fetched again"},
      {"configuration", "stale_after", kOptional, kAtStart, Time(seconds(1), hours(24), spread, &Spread::stale_after), "time without confirmation by a node or the platform after which keyed requests are refused"},
      {"configuration", "pause_limit", kOptional, kAtStart, Time(milliseconds(500), minutes(5), spread, &Spread::pause_limit), "length of a pause of the process after which the configuration is confirmed before keyed requests are served"},
      {"configuration", "readers_per_region", kOptional, kAtStart, Count(1, 16, spread, &Spread::readers_per_region), "nodes per region that watch the configuration at the platform"},
      {"platform", "address", kRequired, kAtStart, Endpoint(platform, &Platform::address), "address of the platform's Object API"},
      {"platform", "timeout", kOptional, kAtStart, Time(milliseconds(50), minutes(1), platform, &Platform::timeout), "timeout of one call to the Object API"},
      {"platform", "watch_wait", kOptional, kAtStart, Time(milliseconds(100), minutes(5), platform, &Platform::watch_wait), "wait of one watch of the configuration"},
      {"platform", "retry_interval", kOptional, kAtStart, Time(milliseconds(50), minutes(1), platform, &Platform::retry_interval), "pause before the next call to the Object API after a failure"},
      {"caller", "max_header_bytes", kOptional, kRunning, Count(kKibibyte, 64 * kKibibyte, caller, &Caller::max_header_bytes), "maximum size of a request header"},
      {"caller", "max_body_bytes", kOptional, kRunning, Count(0, 64 * kMebibyte, caller, &Caller::max_body_bytes), "maximum size of a request body"},
      {"caller", "header_timeout", kOptional, kRunning, Time(milliseconds(100), minutes(5), caller, &Caller::header_timeout), "timeout for reading a request header"},
      {"caller", "body_timeout", kOptional, kRunning, Time(milliseconds(100), minutes(5), caller, &Caller::body_timeout), "timeout for reading a request body"},
      {"caller", "idle_timeout", kOptional, kRunning, Time(milliseconds(100), hours(1), caller, &Caller::idle_timeout), "time after which an idle connection is closed"},
      {"caller", "write_timeout", kOptional, kRunning, Time(milliseconds(100), minutes(5), caller, &Caller::write_timeout), "timeout for writing a response"},
      {"backend", "connect_timeout", kOptional, kAtStart, Time(milliseconds(10), minutes(1), backend, &Backend::connect_timeout), "timeout for connecting to the backend server"},
      {"backend", "idle_timeout", kOptional, kAtStart, Time(milliseconds(100), hours(1), backend, &Backend::idle_timeout), "time after which an idle connection is not reused"},
      {"backend", "max_response_header_bytes", kOptional, kAtStart, Count(kKibibyte, kMebibyte, backend, &Backend::max_response_header_bytes), "maximum size of a response header"},
      {"backend", "max_response_body_bytes", kOptional, kAtStart, Count(kKibibyte, 64 * kMebibyte, backend, &Backend::max_response_body_bytes), "maximum size of a response body"},
      {"backend", "announcement_lease", kOptional, kAtStart, Time(milliseconds(500), minutes(1), &Settings::serving, &Serving::announcement_lease), "time for which an announcement is valid"},
      {"backend", "pause_threshold", kOptional, kAtStart, Time(milliseconds(20), minutes(1), &Settings::serving, &Serving::pause_threshold), "length of a pause of the process after which the calls received during it are refused"},
      {"link", "connect_timeout", kOptional, kAtStart, Time(milliseconds(10), minutes(1), link, &Link::connect_timeout), "timeout for connecting to another node"},
      {"link", "ping_interval", kOptional, kAtStart, Time(milliseconds(10), minutes(1), link, &Link::ping_interval), "time without data after which a connection with calls under way is pinged"},
      {"link", "idle_ping_interval", kOptional, kAtStart, Time(milliseconds(10), minutes(1), link, &Link::idle_ping_interval), "time without data after which any other connection is pinged"},
      {"link", "silence_timeout", kOptional, kAtStart, Time(milliseconds(20), minutes(5), link, &Link::silence_timeout), "silence after which a connection is closed"},
      {"link", "idle_timeout", kOptional, kAtStart, Time(seconds(1), hours(24), link, &Link::idle_timeout), "time without frames other than pings after which a connection is closed"},
      {"link", "compress", kOptional, kAtStart, Flag(link, &Link::compress), "compress traffic between availability zones; must be the same on all nodes"},
      {"link", "max_queued_bytes", kOptional, kAtStart, Count(64 * kKibibyte, 1024 * kMebibyte, link, &Link::max_queued_bytes), "maximum bytes queued for one connection"},
      {"admission", "learn_limit", kOptional, kAtStart, Flag(admission, &Admission::limit, &Limit::learn), "learn the concurrency limit; if false it is max_limit"},
      {"admission", "slot_share", kOptional, kAtStart, Number(0.1, 1, admission, &Admission::limit, &Limit::slot_share), "share of the slots reported by the backend server that is used if the limit is not learned"},
      {"admission", "initial_limit", kOptional, kAtStart, Number(1, 100'000, admission, &Admission::limit, &Limit::initial_limit), "initial concurrency limit"},
      {"admission", "min_limit", kOptional, kAtStart, Number(1, 100'000, admission, &Admission::limit, &Limit::min_limit), "minimum concurrency limit"},
      {"admission", "max_limit", kOptional, kAtStart, Number(1, 100'000, admission, &Admission::limit, &Limit::max_limit), "maximum concurrency limit"},
      {"admission", "max_queued", kOptional, kAtStart, Count(0, 100'000, admission, &Admission::max_queued), "maximum number of queued requests"},
      {"admission", "max_wait", kOptional, kAtStart, Time(milliseconds(1), minutes(1), admission, &Admission::max_wait), "expected wait above which a request is not queued"},
      {"admission", "standing_interval", kOptional, kAtStart, Time(milliseconds(10), minutes(1), admission, &Admission::standing_interval), "time without an empty queue after which an account's queue counts as standing"},
      {"admission", "standing_wait", kOptional, kAtStart, Time(milliseconds(1), minutes(1), admission, &Admission::standing_wait), "wait above which requests in a standing queue are refused"},
      {"admission", "worst_account_weight", kOptional, kAtStart, Number(0, 100, admission, &Admission::worst_account_weight), "weight of the worst-served client account"},
      {"admission", "goodput_weight", kOptional, kAtStart, Number(0, 100, admission, &Admission::goodput_weight), "weight of goodput and recovery time"},
      {"admission", "use_importance", kOptional, kAtStart, Flag(admission, &Admission::use_importance), "refuse less important requests first"},
      {"admission", "use_fairness", kOptional, kAtStart, Flag(admission, &Admission::use_fairness), "schedule client accounts fairly"},
      {"admission", "use_deadlines", kOptional, kAtStart, Flag(admission, &Admission::use_deadlines), "refuse requests that cannot finish in time"},
      {"chain", "enabled", kOptional, kAtStart, Flag(chain, &Chain::enabled), "refuse requests at the entry of their call chain if a service further down is overloaded"},
      {"chain", "step", kOptional, kAtStart, Time(milliseconds(10), seconds(10), chain, &Chain::step), "interval of the controller"},
      {"chain", "memory", kOptional, kAtStart, Time(milliseconds(10), seconds(60), chain, &Chain::memory), "averaging time of call rates"},
      {"chain", "drain_time", kOptional, kAtStart, Time(milliseconds(10), seconds(60), chain, &Chain::drain_time), "target time for draining a standing queue"},
      {"chain", "utilization", kOptional, kAtStart, Number(0.1, 1, chain, &Chain::utilization), "share of the capacity that is used under overload"},
      {"chain", "min_share", kOptional, kAtStart, Number(0, 1, chain, &Chain::min_share), "minimum admitted share of each importance"},
      {"route", "zone_first", kOptional, kAtStart, Flag(route, &RouteChoice::zone_first), "use other availability zones only for load above the capacity of the own one"},
      {"route", "prefer_own_zone", kOptional, kAtStart, Flag(route, &RouteChoice::prefer_own_zone), "prefer backend servers in the node's availability zone"},
      {"route", "other_zone_penalty", kOptional, kAtStart, Time(Duration(0), seconds(10), route, &RouteChoice::other_zone_penalty), "latency added to backend servers of other availability zones when they are compared"},
      {"route", "ramp_time", kOptional, kAtStart, Time(Duration(0), minutes(10), route, &RouteChoice::ramp_time), "time over which the load of a new backend server is increased to its full share"},
      {"route", "eject_after_failures", kOptional, kAtStart, Count(1, 1000, route, &RouteChoice::eject_after_failures), "consecutive failures after which a backend server is ejected"},
      {"route", "eject_time", kOptional, kAtStart, Time(milliseconds(10), minutes(10), route, &RouteChoice::eject_time), "duration of the first ejection; doubles with each further one"},
      {"route", "max_eject_time", kOptional, kAtStart, Time(milliseconds(10), hours(1), route, &RouteChoice::max_eject_time), "maximum duration of an ejection"},
      {"route", "max_ejected_share", kOptional, kAtStart, Number(0, 1, route, &RouteChoice::max_ejected_share), "maximum ejected share of a service's backend servers"},
      {"route", "calls_per_accepted", kOptional, kAtStart, Number(0, 100, route, &RouteChoice::throttle, &Throttle::calls_per_accepted), "calls sent per accepted call; 0 disables the throttle"},
      {"retry", "backoff_base", kOptional, kAtStart, Time(milliseconds(1), minutes(1), &Settings::retry, &Retry::backoff_base), "maximum backoff before the first retry; doubles with each further one"},
      {"retry", "backoff_cap", kOptional, kAtStart, Time(milliseconds(1), minutes(1), &Settings::retry, &Retry::backoff_cap), "maximum backoff before any retry"},
      {"retry", "free_redirects", kOptional, kAtStart, Count(0, 10, &Settings::retry, &Retry::free_redirects), "immediate retries, outside the retry budget, of dispatches that reached no backend server"},
      {"retry", "free_retries", kOptional, kAtStart, Count(0, 1000, &Settings::retry, &Retry::free_retries), "retries per route and ten seconds that are allowed without new requests"},
      {"retry", "repeat_unknown", kOptional, kAtStart, Flag(&Settings::retry, &Retry::repeat_unknown), "retry callers' requests whose outcome is unknown"},
      {"shard", "shard_count", kOptional, kAtStart, Count(1, 10'000, shard, &Shard::shard_count), "number of shards of accounts and idempotency keys; must be the same on all nodes"},
      {"shard", "renew_interval", kOptional, kAtStart, Time(milliseconds(10), minutes(1), shard, &Shard::renew_interval), "interval between renewals of a pair's lease"},
      {"shard", "pair_lease", kOptional, kAtStart, Time(milliseconds(100), minutes(1), shard, &Shard::pair_lease), "lease between the two nodes of a shard"},
      {"shard", "record_lease", kOptional, kAtStart, Time(seconds(1), hours(24), shard, &Shard::record_lease), "time for which a pair stays in charge without a write to the Object API"},
      {"shard", "owner_silence", kOptional, kAtStart, Time(milliseconds(200), minutes(5), shard, &Shard::owner_silence), "time without messages after which the owner of a shard is replaced"},
      {"rate", "grant_lease", kOptional, kAtStart, Time(milliseconds(200), minutes(5), rate, &Rate::grant_lease), "time after which granted tokens expire"},
      {"rate", "prefetch_horizon", kOptional, kAtStart, Time(milliseconds(1), seconds(10), rate, &Rate::prefetch_horizon), "time ahead for which tokens are requested"},
      {"rate", "short_hold", kOptional, kAtStart, Time(Duration(0), seconds(10), rate, &Rate::short_hold), "maximum time a call is held while no token is available"},
      {"rate", "outage_hold", kOptional, kAtStart, Time(Duration(0), minutes(1), rate, &Rate::outage_hold), "maximum time a call is held while no grantor responds"},
      {"rate", "max_pending", kOptional, kAtStart, Count(0, 100'000, rate, &Rate::max_pending), "maximum number of held calls of one account"},
      {"rate", "start_empty", kOptional, kAtStart, Flag(rate, &Rate::start_empty), "start grantors without tokens; for grantors that are not replicated"},
      {"rate", "fallback_after", kOptional, kAtStart, Time(Duration(0), minutes(1), rate, &Rate::fallback_after), "time without messages from a grantor after which calls are admitted at a share of the rate; 0: never"},
      {"rate", "fallback_share", kOptional, kAtStart, Number(0, 1, rate, &Rate::fallback_share), "share of the rate that all nodes together admit without a grantor"},
      {"rate", "report_interval", kOptional, kAtStart, Time(milliseconds(1), seconds(10), rate, &Rate::report_interval), "interval between reports of spent tokens"},
      {"once", "retention", kOptional, kAtStart, Time(seconds(1), hours(24), once, &Once::retention), "maximum age of an accepted idempotency key; must be the same on all nodes"},
      {"once", "clock_skew", kOptional, kAtStart, Time(Duration(0), minutes(10), once, &Once::clock_skew), "maximum difference between two wall clocks, including those of callers"},
      {"once", "max_claims", kOptional, kAtStart, Count(100, 10'000'000, once, &Once::max_claims), "maximum number of stored claims"},
      {"once", "claim_timeout", kOptional, kAtStart, Time(milliseconds(50), minutes(1), once, &Once::claim_timeout), "timeout of a claim"},
      {"poison", "crash_bound", kOptional, kAtStart, Count(1, 100, poison, &Poison::crash_bound), "crashes in succession after which a request is refused"},
      {"poison", "suspect_time", kOptional, kAtStart, Time(seconds(30), hours(24), poison, &Poison::suspect_time), "time for which a crash counts; a request that has reached the bound is refused until the first of them is older"},
      {"poison", "max_records", kOptional, kAtStart, Count(64, 100'000, poison, &Poison::max_records), "maximum number of stored crashes"},
      {"features", "shards", kOptional, kAtStart, Flag(&Settings::features, &FeatureSettings::shards), "replicate shards to pairs of nodes: at-most-once records, rate grantors"},
      {"host", "adapter", kOptional, kAtStart, ChoiceSetting{Access(host, &Host::adapter), {"own", "platform"}}, "environment that hosts the node; platform requires name, service, backend, ready and control"},
      {"host", "name", kOptional, kAtStart, Name(host, &Host::name), "name of the node in the directory"},
      {"host", "service", kOptional, kRunning, Name(host, &Host::service), "service of the backend server beside the node"},
      {"host", "backend", kOptional, kAtStart, Endpoint(host, &Host::backend_address), "address of the backend server"},
      {"host", "ready", kOptional, kAtStart, Endpoint(host, &Host::ready_address), "address of the readiness endpoint"},
      {"host", "control", kOptional, kAtStart, Endpoint(host, &Host::control_address), "address for heartbeats of the backend server"},
      {"host", "retry_percent", kOptional, kAtStart, Count(0, 100, host, &Host::retry_percent), "retries per 100 new requests of a route"},
      {"host", "probe_timeout", kOptional, kAtStart, Time(milliseconds(10), minutes(1), host, &Host::probe_timeout), "timeout of a health check"},
      {"host", "watch_wait", kOptional, kAtStart, Time(milliseconds(100), seconds(30), host, &Host::follow, &Follow::watch_wait), "wait of one watch of the configuration"},
      {"host", "key_lease", kOptional, kAtStart, Time(milliseconds(500), minutes(10), host, &Host::follow, &Follow::key_lease), "time for which a confirmed configuration admits keyed requests"},
      {"host", "relay", kOptional, kAtStart, Flag(host, &Host::relay, &Relay::enabled), "confirm the configuration through a reader in each zone; false: each node watches the store"},
      {"host", "relay_fanout", kOptional, kAtStart, Count(2, 100000, host, &Host::relay, &Relay::fanout), "nodes of a zone that one node tells of the configuration"},
      {"host", "relay_interval", kOptional, kAtStart, Time(milliseconds(50), seconds(5), host, &Host::relay, &Relay::query_interval), "interval of the questions to each source"},
      {"host", "silence_limit", kOptional, kAtStart, Time(milliseconds(500), minutes(10), host, &Host::watch, &Watch::silence_limit), "time without heartbeats after which the backend server counts as gone"},
      {"log", "level", kOptional, kRunning, ChoiceSetting{Access(&Settings::log, &LogSettings::level), {"debug", "info", "warning", "error"}}, "minimum level that is logged"},
      {"log", "file", kOptional, kAtStart, TextSetting{Access(&Settings::log, &LogSettings::file)}, "file to append the log to; empty: output"},
      {"log", "output", kOptional, kAtStart, ChoiceSetting{Access(&Settings::log, &LogSettings::output), {"stderr", "stdout"}}, "stream for the log if file is empty"},
      {"log", "lines_per_s", kOptional, kRunning, Count(1, 1'000'000, &Settings::log, &LogSettings::lines_per_s), "maximum lines per event and second; further ones are counted but not written"},
      {"log", "debug", kOptional, kRunning, ChoiceListSetting{Access(&Settings::log, &LogSettings::debug), CategoryNames()}, "categories whose debug events are logged"},
      {"log", "timeline_events", kOptional, kAtStart, Count(100, 1'000'000, &Settings::log, &LogSettings::timeline_events), "number of events kept for the timeline"},
      {"shutdown", "idle_grace", kOptional, kRunning, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::idle_grace), "time after SIGTERM before the listener and idle connections are closed"},
      {"shutdown", "leave_after", kOptional, kRunning, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::leave_after), "time after SIGTERM before other nodes are notified; their calls are served until then"},
      {"shutdown", "serve_grace", kOptional, kRunning, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::serve_grace), "time for which calls of other nodes are served after the notification"},
      {"shutdown", "shard_grace", kOptional, kRunning, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::shard_grace), "maximum wait for the handover of shards"},
      {"shutdown", "deadline", kOptional, kRunning, Time(Duration(0), hours(1), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::deadline), "maximum duration of a graceful shutdown"},
  };
}
// clang-format on

}  // namespace

const std::vector<SettingRow>& SettingTable() {
  static const std::vector<SettingRow> table = MakeTable();
  return table;
}

const SettingRow* FindSetting(std::string_view section, std::string_view key) {
  for (const SettingRow& it : SettingTable()) {
    if (section == it.section && key == it.key) return &it;
  }
  return nullptr;
}

std::string SettingName(const SettingRow& row) {
  return std::string(row.section) + "." + row.key;
}

std::vector<core::reload::SettingChange> FindChanges(const Settings& old,
                                                     const Settings& now) {
  std::vector<core::reload::SettingChange> changes;
  for (const SettingRow& it : SettingTable()) {
    if (IsSettingEqual(it, old, now)) continue;
    changes.push_back({SettingName(it), it.effect});
  }
  return changes;
}

Settings WithSettings(const Settings& old, const Settings& now,
                      const std::vector<std::string>& names) {
  Settings result = old;
  for (const SettingRow& it : SettingTable()) {
    const auto found = std::find(names.begin(), names.end(), SettingName(it));
    if (found != names.end()) CopySetting(it, now, result);
  }
  return result;
}

std::string SettingsMarkdown() {
  std::string text =
      "# Settings\n\n"
      "A node reads one INI file (`dogwoodrail node --settings FILE`); "
      "`--check`"
      " only checks\nit. Times carry their unit. Each setting may be given"
      " once.\n\n"
      "Change: `running` settings are applied when the file changes, "
      "`restart` settings\nat the next start.\n\n"
      "This page is written by `dogwoodrail settings --markdown`.\n";
  std::string_view section;
  for (const SettingRow& it : SettingTable()) {
    if (section != it.section) {
      section = it.section;
      text += "\n## [" + std::string(section) + "]\n\n";
      text += "| Key | Default | Change | Allowed | Meaning |\n";
      text += "| --- | --- | --- | --- | --- |\n";
    }
    const std::string value = FormatSetting(it, Settings());
    text += "| " + std::string(it.key) + " | ";
    text += it.required ? "required" : (value.empty() ? "empty" : value);
    text += it.effect == kRunning ? " | running" : " | restart";
    text += " | " + AllowedValues(it) + " | " + it.text + " |\n";
  }
  return text;
}

}  // namespace dogwoodrail::node
