#include "node/settings_table.h"

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
using Watch = core::backend::BackendWatchSettings;
using StopSettings = core::stop::StopSettings;

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;
constexpr bool kRequired = true;
constexpr bool kOptional = false;

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
      {"node", "caller", kRequired, Endpoint(node, &Identity::caller_address), "listens for callers' HTTP requests"},
      {"node", "peer", kRequired, Endpoint(node, &Identity::peer_address), "listens for other nodes, TCP and UDP; the address that they know the node by"},
      {"node", "peer_listen", kOptional, Endpoint(node, &Identity::peer_listen), "listens for other nodes here if a relay stands at the address of peer; empty: at peer"},
      {"node", "operator", kRequired, Endpoint(node, &Identity::operator_address), "listens for operators, scrapers and the announcements of the backend server"},
      {"node", "zone", kRequired, Name(node, &Identity::zone), "availability zone of the VM"},
      {"node", "region", kOptional, Name(node, &Identity::region), "region that the availability zone lies in"},
      {"peers", "seeds", kOptional, EndpointListSetting{Access(&Settings::seeds)}, "peer addresses of nodes that are asked for the members at the start"},
      {"peers", "suspicion_min", kOptional, Time(seconds(1), minutes(5), member, &Member::suspicion_min), "time that a node has to refute a suspicion that several others share"},
      {"peers", "suspicion_max", kOptional, Time(seconds(1), minutes(5), member, &Member::suspicion_max), "time that a node has to refute the suspicion of one other"},
      {"peers", "pause_limit", kOptional, Time(milliseconds(500), minutes(5), member, &Member::pause_limit), "gap in its running after which a node asks for the members anew"},
      {"configuration", "stale_after", kOptional, Time(seconds(1), hours(24), spread, &Spread::stale_after), "time without a word from other nodes or the platform after which keyed requests are refused"},
      {"configuration", "pause_limit", kOptional, Time(milliseconds(500), minutes(5), spread, &Spread::pause_limit), "gap in its running after which a node confirms the configuration before it serves keyed requests"},
      {"configuration", "readers_per_region", kOptional, Count(1, 16, spread, &Spread::readers_per_region), "nodes of each region that watch the configuration at the platform"},
      {"platform", "address", kRequired, Endpoint(platform, &Platform::address), "the platform's Object API"},
      {"platform", "timeout", kOptional, Time(milliseconds(50), minutes(1), platform, &Platform::timeout), "time for one call to the Object API"},
      {"platform", "watch_wait", kOptional, Time(milliseconds(100), minutes(5), platform, &Platform::watch_wait), "time for which one watch of the configuration waits"},
      {"platform", "retry_interval", kOptional, Time(milliseconds(50), minutes(1), platform, &Platform::retry_interval), "pause before the Object API is asked again after a failure"},
      {"caller", "max_header_bytes", kOptional, Count(kKibibyte, 64 * kKibibyte, caller, &Caller::max_header_bytes), "longest header of a request"},
      {"caller", "max_body_bytes", kOptional, Count(0, 64 * kMebibyte, caller, &Caller::max_body_bytes), "longest body of a request"},
      {"caller", "header_timeout", kOptional, Time(milliseconds(100), minutes(5), caller, &Caller::header_timeout), "time for the header of a request to come in"},
      {"caller", "body_timeout", kOptional, Time(milliseconds(100), minutes(5), caller, &Caller::body_timeout), "time for the body of a request to come in"},
      {"caller", "idle_timeout", kOptional, Time(milliseconds(100), hours(1), caller, &Caller::idle_timeout), "time after which an idle connection is closed"},
      {"caller", "write_timeout", kOptional, Time(milliseconds(100), minutes(5), caller, &Caller::write_timeout), "time for an answer to go out"},
      {"backend", "connect_timeout", kOptional, Time(milliseconds(10), minutes(1), backend, &Backend::connect_timeout), "time for a connection to the backend server"},
      {"backend", "idle_timeout", kOptional, Time(milliseconds(100), hours(1), backend, &Backend::idle_timeout), "time after which an idle connection is not used again"},
      {"backend", "max_response_header_bytes", kOptional, Count(kKibibyte, kMebibyte, backend, &Backend::max_response_header_bytes), "longest header of an answer"},
      {"backend", "max_response_body_bytes", kOptional, Count(kKibibyte, 64 * kMebibyte, backend, &Backend::max_response_body_bytes), "longest body of an answer"},
      {"backend", "announcement_lease", kOptional, Time(milliseconds(500), minutes(1), &Settings::serving, &Serving::announcement_lease), "time for which an announcement counts"},
      {"backend", "pause_threshold", kOptional, Time(milliseconds(20), minutes(1), &Settings::serving, &Serving::pause_threshold), "pause of the process after which calls that waited are refused"},
      {"link", "connect_timeout", kOptional, Time(milliseconds(10), minutes(1), link, &Link::connect_timeout), "time for a connection to another node"},
      {"link", "ping_interval", kOptional, Time(milliseconds(10), minutes(1), link, &Link::ping_interval), "time between two pings"},
      {"link", "silence_timeout", kOptional, Time(milliseconds(20), minutes(5), link, &Link::silence_timeout), "silence after which a connection is closed"},
      {"link", "idle_timeout", kOptional, Time(seconds(1), hours(24), link, &Link::idle_timeout), "time without calls after which a connection is closed"},
      {"link", "compress", kOptional, Flag(link, &Link::compress), "compress what nodes send each other across zones; the same on all nodes"},
      {"link", "max_queued_bytes", kOptional, Count(64 * kKibibyte, 1024 * kMebibyte, link, &Link::max_queued_bytes), "bytes that wait for one connection"},
      {"admission", "learn_limit", kOptional, Flag(admission, &Admission::limit, &Limit::learn), "learn the concurrency limit; if false it stays at max_limit"},
      {"admission", "slot_share", kOptional, Number(0.1, 1, admission, &Admission::limit, &Limit::slot_share), "part of the slots that the backend server reports that is used, if the limit is not learned"},
      {"admission", "initial_limit", kOptional, Number(1, 100'000, admission, &Admission::limit, &Limit::initial_limit), "concurrency limit at the start"},
      {"admission", "min_limit", kOptional, Number(1, 100'000, admission, &Admission::limit, &Limit::min_limit), "lowest concurrency limit"},
      {"admission", "max_limit", kOptional, Number(1, 100'000, admission, &Admission::limit, &Limit::max_limit), "highest concurrency limit"},
      {"admission", "max_queued", kOptional, Count(0, 100'000, admission, &Admission::max_queued), "requests that wait for the backend server"},
      {"admission", "max_wait", kOptional, Time(milliseconds(1), minutes(1), admission, &Admission::max_wait), "expected wait above which a request is not queued"},
      {"admission", "standing_interval", kOptional, Time(milliseconds(10), minutes(1), admission, &Admission::standing_interval), "time without an empty queue after which an account's queue counts as standing"},
      {"admission", "standing_wait", kOptional, Time(milliseconds(1), minutes(1), admission, &Admission::standing_wait), "wait above which requests in a standing queue are refused"},
      {"admission", "worst_account_weight", kOptional, Number(0, 100, admission, &Admission::worst_account_weight), "weight of the worst-served client account"},
      {"admission", "goodput_weight", kOptional, Number(0, 100, admission, &Admission::goodput_weight), "weight of goodput and recovery time"},
      {"admission", "use_importance", kOptional, Flag(admission, &Admission::use_importance), "refuse less important requests first"},
      {"admission", "use_fairness", kOptional, Flag(admission, &Admission::use_fairness), "give client accounts equal turns"},
      {"admission", "use_deadlines", kOptional, Flag(admission, &Admission::use_deadlines), "refuse requests that cannot finish in time"},
      {"chain", "enabled", kOptional, Flag(chain, &Chain::enabled), "refuse requests at the entry of their chain if a service behind cannot follow"},
      {"chain", "step", kOptional, Time(milliseconds(10), seconds(10), chain, &Chain::step), "time between two steps of the control"},
      {"chain", "memory", kOptional, Time(milliseconds(10), seconds(60), chain, &Chain::memory), "time over which rates of calls are averaged"},
      {"chain", "drain_time", kOptional, Time(milliseconds(10), seconds(60), chain, &Chain::drain_time), "time in which a standing queue is to be worked off"},
      {"chain", "utilization", kOptional, Number(0.1, 1, chain, &Chain::utilization), "part of the capacity that is used under overload"},
      {"chain", "min_share", kOptional, Number(0, 1, chain, &Chain::min_share), "least share of each importance that is let in"},
      {"route", "zone_first", kOptional, Flag(route, &RouteChoice::zone_first), "use other availability zones only for what the own one cannot carry"},
      {"route", "prefer_own_zone", kOptional, Flag(route, &RouteChoice::prefer_own_zone), "prefer backend servers in the node's availability zone"},
      {"route", "other_zone_penalty", kOptional, Time(Duration(0), seconds(10), route, &RouteChoice::other_zone_penalty), "latency by which another availability zone is thought worse"},
      {"route", "ramp_time", kOptional, Time(Duration(0), minutes(10), route, &RouteChoice::ramp_time), "time over which a new backend server is brought up to its share"},
      {"route", "eject_after_failures", kOptional, Count(1, 1000, route, &RouteChoice::eject_after_failures), "failures in a row after which a backend server is left out"},
      {"route", "eject_time", kOptional, Time(milliseconds(10), minutes(10), route, &RouteChoice::eject_time), "time for which it is left out first; doubles"},
      {"route", "max_eject_time", kOptional, Time(milliseconds(10), hours(1), route, &RouteChoice::max_eject_time), "longest time for which it is left out"},
      {"route", "max_ejected_share", kOptional, Number(0, 1, route, &RouteChoice::max_ejected_share), "share of a service's backend servers that may be left out"},
      {"route", "calls_per_accepted", kOptional, Number(0, 100, route, &RouteChoice::throttle, &Throttle::calls_per_accepted), "calls sent for each one accepted; 0 switches the throttle off"},
      {"retry", "backoff_base", kOptional, Time(milliseconds(1), minutes(1), &Settings::retry, &Retry::backoff_base), "longest pause before the first retry; doubles"},
      {"retry", "backoff_cap", kOptional, Time(milliseconds(1), minutes(1), &Settings::retry, &Retry::backoff_cap), "longest pause before any retry"},
      {"retry", "free_redirects", kOptional, Count(0, 10, &Settings::retry, &Retry::free_redirects), "repeats at once, outside the budget, of dispatches that reached no backend server"},
      {"retry", "free_retries", kOptional, Count(0, 1000, &Settings::retry, &Retry::free_retries), "retries of a route in ten seconds that need no fresh requests"},
      {"retry", "repeat_unknown", kOptional, Flag(&Settings::retry, &Retry::repeat_unknown), "repeat requests of callers whose outcome is unknown"},
      {"shard", "shard_count", kOptional, Count(1, 10'000, shard, &Shard::shard_count), "shards of accounts and idempotency keys; the same on all nodes"},
      {"shard", "renew_interval", kOptional, Time(milliseconds(10), minutes(1), shard, &Shard::renew_interval), "time between two renewals of the lease of a pair"},
      {"shard", "pair_lease", kOptional, Time(milliseconds(100), minutes(1), shard, &Shard::pair_lease), "lease between the two nodes of a shard"},
      {"shard", "record_lease", kOptional, Time(seconds(1), hours(24), shard, &Shard::record_lease), "time for which a pair acts without a write at the Object API"},
      {"shard", "owner_silence", kOptional, Time(milliseconds(200), minutes(5), shard, &Shard::owner_silence), "silence after which the owner of a shard is replaced"},
      {"rate", "grant_lease", kOptional, Time(milliseconds(200), minutes(5), rate, &Rate::grant_lease), "time after which granted tokens lapse"},
      {"rate", "prefetch_horizon", kOptional, Time(milliseconds(1), seconds(10), rate, &Rate::prefetch_horizon), "demand for which tokens are fetched in advance"},
      {"rate", "short_hold", kOptional, Time(Duration(0), seconds(10), rate, &Rate::short_hold), "longest hold of a call while tokens are short"},
      {"rate", "outage_hold", kOptional, Time(Duration(0), minutes(1), rate, &Rate::outage_hold), "longest hold of a call while no grantor answers"},
      {"rate", "max_pending", kOptional, Count(0, 100'000, rate, &Rate::max_pending), "held calls of one account"},
      {"rate", "start_empty", kOptional, Flag(rate, &Rate::start_empty), "a grantor starts without tokens, for grantors that are not replicated"},
      {"rate", "fallback_after", kOptional, Time(Duration(0), minutes(1), rate, &Rate::fallback_after), "silence of a grantor after which calls are admitted at a part of the rate; 0: never"},
      {"rate", "fallback_share", kOptional, Number(0, 1, rate, &Rate::fallback_share), "share of the rate that all nodes together admit then"},
      {"rate", "report_interval", kOptional, Time(milliseconds(1), seconds(10), rate, &Rate::report_interval), "time between two reports of spent tokens"},
      {"once", "retention", kOptional, Time(seconds(1), hours(24), once, &Once::retention), "age up to which an idempotency key is accepted; the same on all nodes"},
      {"once", "clock_skew", kOptional, Time(Duration(0), minutes(10), once, &Once::clock_skew), "largest difference between two wall clocks, callers' included"},
      {"once", "max_claims", kOptional, Count(100, 10'000'000, once, &Once::max_claims), "claims that the node keeps"},
      {"once", "claim_timeout", kOptional, Time(milliseconds(50), minutes(1), once, &Once::claim_timeout), "time for the answer to a claim"},
      {"poison", "crash_bound", kOptional, Count(1, 100, poison, &Poison::crash_bound), "crashes after which a request is refused"},
      {"poison", "suspect_time", kOptional, Time(seconds(1), hours(24), poison, &Poison::suspect_time), "time for which a crash counts"},
      {"poison", "conviction_time", kOptional, Time(seconds(1), hours(24), poison, &Poison::conviction_time), "time for which such a request is refused"},
      {"features", "shards", kOptional, Flag(&Settings::features, &FeatureSettings::shards), "keep shards over pairs of nodes: once-only records, poison book, rate grantors"},
      {"host", "adapter", kOptional, ChoiceSetting{Access(host, &Host::adapter), {"own", "platform"}}, "the system that the node lives on; with platform the other settings of this section are required"},
      {"host", "name", kOptional, Name(host, &Host::name), "name of the node in the directory"},
      {"host", "service", kOptional, Name(host, &Host::service), "service of the backend server beside the node"},
      {"host", "backend", kOptional, Endpoint(host, &Host::backend_address), "where the backend server listens"},
      {"host", "ready", kOptional, Endpoint(host, &Host::ready_address), "listens for questions whether the node is ready"},
      {"host", "control", kOptional, Endpoint(host, &Host::control_address), "listens for heartbeats of the backend server"},
      {"host", "retry_percent", kOptional, Count(0, 100, host, &Host::retry_percent), "retries for 100 fresh requests of a route"},
      {"host", "probe_timeout", kOptional, Time(milliseconds(10), minutes(1), host, &Host::probe_timeout), "time for a health check"},
      {"host", "watch_wait", kOptional, Time(milliseconds(100), seconds(30), host, &Host::follow, &Follow::watch_wait), "time for which one watch of the configuration waits"},
      {"host", "key_lease", kOptional, Time(milliseconds(500), minutes(10), host, &Host::follow, &Follow::key_lease), "time for which a confirmed configuration admits requests with a key"},
      {"host", "silence_limit", kOptional, Time(milliseconds(500), minutes(10), host, &Host::watch, &Watch::silence_limit), "silence after which the backend server counts as gone"},
      {"log", "level", kOptional, ChoiceSetting{Access(&Settings::log, &LogSettings::level), {"debug", "info", "warning", "error"}}, "least level that is logged"},
      {"log", "file", kOptional, TextSetting{Access(&Settings::log, &LogSettings::file)}, "file that the log is appended to; empty for the output"},
      {"log", "output", kOptional, ChoiceSetting{Access(&Settings::log, &LogSettings::output), {"stderr", "stdout"}}, "where the log goes without a file"},
      {"log", "lines_per_s", kOptional, Count(1, 1'000'000, &Settings::log, &LogSettings::lines_per_s), "lines of each event in a second; further ones are counted, not written"},
      {"log", "debug", kOptional, ChoiceListSetting{Access(&Settings::log, &LogSettings::debug), CategoryNames()}, "categories whose events of level debug are logged too"},
      {"log", "timeline_events", kOptional, Count(100, 1'000'000, &Settings::log, &LogSettings::timeline_events), "events that the node keeps for the time line"},
      {"shutdown", "idle_grace", kOptional, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::idle_grace), "time for callers on idle connections to learn of the stop"},
      {"shutdown", "leave_after", kOptional, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::leave_after), "time after which other nodes are told of the stop; their calls are served until then"},
      {"shutdown", "serve_grace", kOptional, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::serve_grace), "time for which calls of other nodes are still served once they are told"},
      {"shutdown", "shard_grace", kOptional, Time(Duration(0), minutes(5), &Settings::shutdown, &ShutdownSettings::shard_grace), "longest wait for shards to be handed over"},
      {"shutdown", "deadline", kOptional, Time(Duration(0), hours(1), &Settings::shutdown, &ShutdownSettings::steps, &StopSettings::deadline), "time for requests under way to end after SIGTERM"},
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

std::string SettingsMarkdown() {
  std::string text =
      "# Settings\n\n"
      "A node reads one INI file (`dogwoodrail node --settings FILE`); "
      "`--check`"
      " only checks\nit. Times carry their unit. Each setting may be given"
      " once.\n\n"
      "This page is written by `dogwoodrail settings --markdown`.\n";
  std::string_view section;
  for (const SettingRow& it : SettingTable()) {
    if (section != it.section) {
      section = it.section;
      text += "\n## [" + std::string(section) + "]\n\n";
      text += "| Key | Default | Allowed | Meaning |\n";
      text += "| --- | --- | --- | --- |\n";
    }
    const std::string value = FormatSetting(it, Settings());
    text += "| " + std::string(it.key) + " | ";
    text += it.required ? "required" : (value.empty() ? "empty" : value);
    text += " | " + AllowedValues(it) + " | " + it.text + " |\n";
  }
  return text;
}

}  // namespace dogwoodrail::node
