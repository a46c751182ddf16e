#ifndef DOGWOODRAIL_NODE_EVENT_LOG_H_
#define DOGWOODRAIL_NODE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/event_table.h"
#include "core/base/time_type.h"
#include "node/settings_type.h"

namespace spdlog {
class logger;
}  // namespace spdlog

namespace dogwoodrail::node {

// Event as kept for the time line.
struct LoggedEvent {
  std::uint64_t sequence = 0;  // rises by one per event of this process
  core::base::WallTime time;
  core::base::Event event;
};

// Which events to read. Empty fields match all.
struct EventQuery {
  std::uint64_t after = 0;  // only events of a higher sequence number
  core::base::RequestId request;
  core::base::AccountName account;
  std::optional<std::uint16_t> number;
  std::size_t limit = 1000;  // the earliest so many
};

// Keeps the last events of the process for the time line and writes them to the
// log. May be used by several threads.
class EventLog {
 public:
  // Hook that tells the wall time.
  using WallClock = std::function<core::base::WallTime()>;

  // A null logger keeps events without writing them.
  EventLog(const LogSettings& settings, WallClock clock,
           std::shared_ptr<spdlog::logger> logger);

  // Takes an event.
  void Record(core::base::Event event);

  // Returns matching events by rising sequence number.
  std::vector<LoggedEvent> Read(const EventQuery& query) const;

  // Sequence number of the last event; 0 if there was none.
  std::uint64_t last_sequence() const;

 private:
  // Lines of one event in the present second.
  struct LineCount {
    std::int64_t second = 0;
    std::size_t written = 0;
    std::size_t left_out = 0;
  };

  void Write(const core::base::Event& event);
  // True if a line of the event may be written; says how many were left out
  // before it.
  bool TakeLine(core::base::EventNumber number, std::size_t& left_out);

  const std::size_t capacity_;
  const WallClock clock_;
  const std::shared_ptr<spdlog::logger> logger_;
  std::set<core::base::EventCategory> debug_;
  const std::size_t lines_per_s_;
  std::unordered_map<std::uint16_t, LineCount> lines_;
  mutable std::mutex mutex_;
  std::deque<LoggedEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

// Returns the line that is logged for an event: its number, name and fields,
// with characters outside of ASCII replaced.
std::string FormatEvent(const core::base::Event& event);

// Returns the text with characters outside of printable ASCII replaced.
std::string Printable(std::string text);

// Makes the log of a process with its logger; an error if the file cannot be
// opened.
core::base::Result<std::unique_ptr<EventLog>> MakeEventLog(
    const LogSettings& settings);

// Returns a logger for the settings. It never blocks its callers: what cannot
// be written in time is dropped, oldest first.
std::shared_ptr<spdlog::logger> MakeLogger(const LogSettings& settings);

// Wall time of the system.
core::base::WallTime SystemWallTime();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_EVENT_LOG_H_
