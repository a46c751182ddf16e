#include "node/metrics.h"

// GCC 12 reports a false positive: the parameter of the accumulator is set on
// construction.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// clang-format off: extended_p_square_quantile.hpp needs <sstream> before it
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "core/base/reason_table.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

namespace acc = boost::accumulators;
using core::base::Importance;
using core::base::Reason;

namespace {

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

// The P-square estimator needs one sample for each of its markers.
constexpr std::size_t kMinSamples = 2 * kQuantiles.size() + 3;

using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Writes the HELP and TYPE lines of a metric.
void WriteMetricHeader(std::ostream& out, const char* name, const char* type,
                       const char* help) {
  out << "# HELP " << name << ' ' << help << '\n';
  out << "# TYPE " << name << ' ' << type << '\n';
}

}  // namespace

void WriteMetric(std::ostream& out, const char* name, const char* type,
                 const char* help, std::uint64_t value) {
  WriteMetricHeader(out, name, type, help);
  out << name << ' ' << value << '\n';
}

// Writes a counter of connections by those causes that are the caller's, or
// those that are not.
void WriteByCause(
    std::ostream& out, const char* name,
    const std::array<std::uint64_t, http::kCloseCauseCount>& counts,
    bool by_caller) {
  for (const http::CloseCauseSpec& it : http::CloseCauseTable()) {
    if (it.by_caller != by_caller) continue;
    out << name << "{cause=\"" << it.name << "\"} "
        << counts.at(static_cast<std::size_t>(it.cause)) << '\n';
  }
}

// Counters and latencies of the requests of one importance.
struct Metrics::ImportanceMetrics {
  std::array<std::uint64_t, static_cast<std::size_t>(Reason::kCount)> ended{};
  LatencyAccumulator answered_seconds{acc::extended_p_square_probabilities =
                                          kQuantiles};
};

Metrics::Metrics() {
  for (auto& it : by_importance_) it = std::make_unique<ImportanceMetrics>();
}

Metrics::~Metrics() = default;

void Metrics::OnRequestEnded(Importance importance, Reason reason,
                             core::base::Duration latency) {
  ImportanceMetrics& row =
      *by_importance_.at(static_cast<std::size_t>(importance));
  ++row.ended.at(static_cast<std::size_t>(reason));
  if (reason != Reason::kNone) return;
  row.answered_seconds(std::chrono::duration<double>(latency).count());
}

std::string Metrics::FormatRequestMetrics() const {
  std::ostringstream out;
  WriteMetricHeader(out, "dogwoodrail_requests_total", "counter",
                    "Requests ended at this node, by importance and reason.");
  for (std::size_t it = 0; it < by_importance_.size(); ++it) {
    const auto name = core::base::ImportanceText(static_cast<Importance>(it));
    const auto& ended = by_importance_.at(it)->ended;
    for (std::size_t reason = 0; reason < ended.size(); ++reason) {
      if (ended.at(reason) == 0) continue;
      const auto& spec = core::base::GetReasonSpec(static_cast<Reason>(reason));
      out << "dogwoodrail_requests_total{importance=\"" << name
          << "\",reason=\"" << spec.code << "\"} " << ended.at(reason) << '\n';
    }
  }
  WriteMetricHeader(out, "dogwoodrail_request_seconds", "summary",
                    "Time from a request's arrival to its whole answer.");
  for (std::size_t it = 0; it < by_importance_.size(); ++it) {
    const auto name = core::base::ImportanceText(static_cast<Importance>(it));
    const LatencyAccumulator& latency = by_importance_.at(it)->answered_seconds;
    if (acc::count(latency) < kMinSamples) continue;
    for (const double quantile : kQuantiles) {
      out << "dogwoodrail_request_seconds{importance=\"" << name
          << "\",quantile=\"" << quantile << "\"} "
          << acc::quantile(latency, acc::quantile_probability = quantile)
          << '\n';
    }
    out << "dogwoodrail_request_seconds_sum{importance=\"" << name << "\"} "
        << acc::sum(latency) << '\n';
    out << "dogwoodrail_request_seconds_count{importance=\"" << name << "\"} "
        << acc::count(latency) << '\n';
  }
  return out.str();
}

void Metrics::OnConnectionClosed(const http::ConnectionClose& close) {
  const auto cause = static_cast<std::size_t>(close.cause);
  ++closed_.at(cause);
  if (http::IsUnanswered(close)) ++unanswered_.at(cause);
  if (http::IsAbandoned(close)) ++abandoned_.at(cause);
  if (close.unread_bytes > 0) ++closed_unread_;
}

std::string Metrics::FormatConnectionMetrics() const {
  std::ostringstream out;
  const char* name = "dogwoodrail_connections_closed_total";
  WriteMetricHeader(out, name, "counter",
                    "Connections of callers that ended, by cause.");
  WriteByCause(out, name, closed_, false);
  WriteByCause(out, name, closed_, true);
  name = "dogwoodrail_requests_unanswered_total";
  WriteMetricHeader(out, name, "counter",
                    "Requests read whole and left without a final answer.");
  WriteByCause(out, name, unanswered_, false);
  name = "dogwoodrail_requests_abandoned_total";
  WriteMetricHeader(out, name, "counter",
                    "Requests whose caller left before the final answer.");
  WriteByCause(out, name, abandoned_, true);
  WriteMetric(out, "dogwoodrail_connections_closed_unread_total", "counter",
              "Connections of callers that ended with bytes not read.",
              closed_unread_);
  return out.str();
}

std::string Metrics::FormatReloadMetrics() const {
  std::ostringstream out;
  const char* name = "dogwoodrail_settings_loads_total";
  WriteMetricHeader(out, name, "counter",
                    "Loads of the settings file of the running node.");
  for (std::size_t it = 0; it < settings_loads_.size(); ++it) {
    const auto count = static_cast<core::reload::ReloadCount>(it);
    out << name << "{outcome=\"" << core::reload::ReloadCountText(count)
        << "\"} " << settings_loads_.at(it) << '\n';
  }
  return out.str();
}

std::string Metrics::FormatPoisonMetrics(const PoisonSystem& poison) {
  std::ostringstream out;
  WriteMetric(out, "dogwoodrail_poison_refused_total", "counter",
              "Sends of blocked requests that this node refused.",
              poison.refused_count());
  WriteMetric(out, "dogwoodrail_poison_observed_total", "counter",
              "Crash records made by this node.", poison.observed_count());
  WriteMetric(out, "dogwoodrail_poison_suspects", "gauge",
              "Requests against which crashes count now.",
              poison.crashes().suspect_count());
  WriteMetric(out, "dogwoodrail_poison_blocked", "gauge",
              "Requests refused now because they crash backend servers.",
              poison.crashes().blocked_count());
  WriteMetric(out, "dogwoodrail_poison_records", "gauge",
              "Crash records known to this node.",
              poison.crashes().records().size());
  WriteMetric(out, "dogwoodrail_poison_evicted_total", "counter",
              "Crash records removed because the table was full.",
              poison.crashes().evicted_count());
  WriteMetric(out, "dogwoodrail_poison_sent_bytes_total", "counter",
              "Bytes sent to other nodes about crashes.",
              poison.spread().sent_bytes());
  return out.str();
}

std::string Metrics::FormatTraffic(const wire::Traffic& traffic) {
  std::ostringstream messages;
  std::ostringstream bytes;
  for (const auto& [kind, counts] : traffic.by_kind()) {
    for (std::size_t it = 0; it < counts.size(); ++it) {
      const wire::TrafficCount& count = counts.at(it);
      if (count.messages == 0) continue;
      const auto scope = static_cast<wire::TrafficScope>(it);
      const std::string labels = std::string("{kind=\"") +
                                 wire::FrameKindText(kind) + "\",to=\"" +
                                 wire::TrafficScopeText(scope) + "\"} ";
      messages << "dogwoodrail_sent_messages_total" << labels << count.messages
               << '\n';
      bytes << "dogwoodrail_sent_bytes_total" << labels << count.bytes << '\n';
    }
  }
  std::ostringstream out;
  WriteMetricHeader(out, "dogwoodrail_sent_messages_total", "counter",
                    "Messages sent to other nodes.");
  out << messages.str();
  WriteMetricHeader(out, "dogwoodrail_sent_bytes_total", "counter",
                    "Bytes sent to other nodes, compressed, without the "
                    "headers of TCP, UDP and IP.");
  out << bytes.str();
  return out.str();
}

std::string Metrics::Text(const Node& node) const {
  std::ostringstream out;
  out << FormatTraffic(node.traffic());
  for (const MetricsSource& it : sources_) it(out);
  out << FormatRequestMetrics();
  out << FormatConnectionMetrics();
  out << FormatReloadMetrics();
  out << FormatPoisonMetrics(node.poison());
  const auto admission = node.admission().Snapshot();
  WriteMetric(out, "dogwoodrail_admission_limit", "gauge",
              "Concurrent calls admitted to the backend server.",
              admission.limit);
  WriteMetric(out, "dogwoodrail_admission_in_flight", "gauge",
              "Calls executed by the backend server now.", admission.in_flight);
  WriteMetric(out, "dogwoodrail_admission_queued", "gauge",
              "Calls that wait for the backend server now.", admission.queued);
  WriteMetric(out, "dogwoodrail_executions_total", "counter",
              "Calls handed to the backend server.", admission.started);
  WriteMetricHeader(out, "dogwoodrail_admission_refused_total", "counter",
                    "Calls refused at admission, by reason.");
  for (std::size_t it = 0; it < admission.refused_by_reason.size(); ++it) {
    if (admission.refused_by_reason.at(it) == 0) continue;
    const auto& spec = core::base::GetReasonSpec(static_cast<Reason>(it));
    out << "dogwoodrail_admission_refused_total{reason=\"" << spec.code
        << "\"} " << admission.refused_by_reason.at(it) << '\n';
  }
  WriteMetric(out, "dogwoodrail_entry_calls", "gauge",
              "Requests of callers under way.", node.entry().size());
  WriteMetric(out, "dogwoodrail_links", "gauge", "Open links to other nodes.",
              node.links().size());
  WriteMetric(out, "dogwoodrail_configuration_number", "gauge",
              "Number of the configuration in force.",
              node.config() ? node.config()->number().value() : 0);
  return out.str();
}

}  // namespace dogwoodrail::node
