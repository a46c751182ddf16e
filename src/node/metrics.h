#ifndef DOGWOODRAIL_NODE_METRICS_H_
#define DOGWOODRAIL_NODE_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/reload/reload_type.h"
#include "http/close_table.h"
#include "wire/traffic.h"

namespace dogwoodrail::node {

class Node;
class PoisonSystem;

// Writes metrics of another system in the Prometheus text format.
using MetricsSource = std::function<void(std::ostream&)>;

// Write a metric without labels, with its HELP and TYPE lines.
void WriteMetric(std::ostream& out, const char* name, const char* type,
                 const char* help, std::uint64_t value);

// Counts and latencies of the requests that ended at this node. Used on the
// thread of the event loop only.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Counts a finished request; kNone means a complete answer.
  void OnRequestEnded(core::base::Importance importance,
                      core::base::Reason reason, core::base::Duration latency);

  // Counts an ended connection of a caller.
  void OnConnectionClosed(const http::ConnectionClose& close);

  // Counts a load of the settings file.
  void OnSettingsLoaded(core::reload::ReloadCount count) {
    ++settings_loads_.at(static_cast<std::size_t>(count));
  }

  // Adds metrics of another system to the text.
  void AddSource(MetricsSource source) {
    sources_.push_back(std::move(source));
  }

  // Returns the metrics of callers' connections in the Prometheus text format.
  std::string FormatConnectionMetrics() const;

  // Returns all metrics in the Prometheus text format.
  std::string Text(const Node& node) const;

 private:
  struct ImportanceMetrics;

  std::string FormatRequestMetrics() const;
  std::string FormatReloadMetrics() const;
  static std::string FormatPoisonMetrics(const PoisonSystem& poison);
  static std::string FormatTraffic(const wire::Traffic& traffic);

  std::array<std::unique_ptr<ImportanceMetrics>, core::base::kImportanceCount>
      by_importance_;
  using CountByCause = std::array<std::uint64_t, http::kCloseCauseCount>;
  CountByCause closed_{};
  CountByCause unanswered_{};
  CountByCause abandoned_{};
  std::uint64_t closed_unread_ = 0;
  std::vector<MetricsSource> sources_;
  std::array<std::uint64_t, core::reload::kReloadCounts> settings_loads_{};
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_METRICS_H_
