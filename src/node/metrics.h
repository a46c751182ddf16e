#ifndef DOGWOODRAIL_NODE_METRICS_H_
#define DOGWOODRAIL_NODE_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::node {

class Node;

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

  // Returns all metrics in the Prometheus text format.
  std::string Text(const Node& node) const;

 private:
  struct ImportanceMetrics;

  std::string FormatRequestMetrics() const;

  std::array<std::unique_ptr<ImportanceMetrics>, core::base::kImportanceCount>
      by_importance_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_METRICS_H_
