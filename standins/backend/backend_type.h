#ifndef DOGWOODRAIL_STANDINS_BACKEND_BACKEND_TYPE_H_
#define DOGWOODRAIL_STANDINS_BACKEND_BACKEND_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace dogwoodrail::standin {

// Options of the backend server, set by the flags in main.cc.
struct BackendOptions {
  std::string service;
  std::string name;  // included in each response
  std::uint16_t port = 0;
  std::string operator_ip_port;   // node's operator endpoint, or empty
  std::string announced_address;  // "IP:port"
  std::string node_ip_port;       // node's caller endpoint
  std::string next;               // path called via the node, or empty
  int slots = 0;
  int queue = 0;
  bool slower_over_slots = false;  // instead of responding 503
  std::chrono::milliseconds service_time{0};
  std::chrono::milliseconds cold_start{0};  // state "starting" at first
  std::chrono::milliseconds min_drain{0};   // minimum time in "draining"
  std::string crash_marker;
  std::string leak_marker;  // text in keys that must not be forwarded
  std::string execution_log;
};

// Load in the announcements: current, delayed by `report_lag`, or fixed to
// `lie_in_use`.
enum class ReportMode { kTrue, kLag, kLie };

// Behaviour set by POST /standin/control.
struct BackendControl {
  double slow_factor = 1.0;
  bool refuse = false;  // responds 503 "not run" to all requests
  bool mute = false;    // executes requests but never responds
  bool announce = true;
  ReportMode report = ReportMode::kTrue;
  std::chrono::seconds report_lag{5};
  int lie_in_use = 0;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_BACKEND_BACKEND_TYPE_H_
