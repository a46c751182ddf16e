#ifndef DOGWOODRAIL_NODE_EVENT_LOG_H_
#define DOGWOODRAIL_NODE_EVENT_LOG_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/event_table.h"
#include "core/base/time_type.h"
#include "node/log_sink.h"
#include "node/settings_type.h"

namespace spdlog {
class logger;
}  // namespace spdlog

namespace dogwoodrail::node {

// An event as stored for the timeline.
struct LoggedEvent {
  std::uint64_t sequence = 0;  // increases by one per event of this process
  core::base::WallTime time;
  core::base::Event event;
};

// Filter for EventLog::Read(). Empty fields match all events.
struct EventQuery {
  std::uint64_t after = 0;  // only events with a higher sequence number
  core::base::RequestId request;
  core::base::AccountName account;
  std::optional<std::uint16_t> number;
  std::size_t limit = 1000;  // maximum number of events, oldest first
};

// Keeps the most recent events of the process for the timeline and writes all
// events to the log. Thread-safe.
class EventLog {
 public:
  // Returns the current wall time.
  using WallClock = std::function<core::base::WallTime()>;

  // With a null logger, events are kept for the timeline only. `sink` is the
  // output of the log of the process, if it is that.
  EventLog(const LogSettings& settings, WallClock clock,
           std::shared_ptr<spdlog::logger> logger,
           std::shared_ptr<LogSink> sink = nullptr);
  // Ends the log.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Ends the log of the process: waits a bounded time until the lines so far
  // are written, and reports on stderr how many are not. Later events are kept
  // for the timeline only.
  void End();

  // Applies the level, the debug categories and the line limit.
  void ApplySettings(const LogSettings& settings);

  // Stores an event and writes it to the log.
  void Record(core::base::Event event);

  // Returns matching events in order of sequence number.
  std::vector<LoggedEvent> Read(const EventQuery& query) const;

  // Sequence number of the last event; 0 if there was none.
  std::uint64_t last_sequence() const;

 private:
  // Lines of one event number in the current second.
  struct LineCount {
    std::int64_t second = 0;
    std::size_t written = 0;
    std::size_t suppressed = 0;
  };

  void WriteLine(const core::base::Event& event);
  // Number of lines that wait for the output.
  std::uint64_t PendingLines() const;
  // Applies lines_per_s; true if a line of the event may be written. Sets
  // `suppressed` to the number of lines dropped since the last one written.
  bool CheckLineLimit(core::base::EventNumber number, std::size_t& suppressed);

  const std::size_t capacity_;
  const WallClock clock_;
  const std::shared_ptr<spdlog::logger> logger_;
  const std::shared_ptr<LogSink> sink_;
  std::atomic<bool> ended_{false};
  std::atomic<std::uint64_t> submitted_lines_{0};
  std::atomic<std::uint32_t> debug_categories_;  // one bit each
  std::atomic<std::size_t> lines_per_s_;
  std::unordered_map<std::uint16_t, LineCount> line_counts_;
  mutable std::mutex mutex_;
  std::deque<LoggedEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

// Formats the log line of an event: its number, name and fields, with
// characters outside of printable ASCII replaced by '?'.
std::string FormatEvent(const core::base::Event& event);

// Replaces characters outside of printable ASCII by '?'.
std::string Printable(std::string text);

// Creates the event log of a process and its logger; an error if the log file
// cannot be opened.
core::base::Result<std::unique_ptr<EventLog>> MakeEventLog(
    const LogSettings& settings);

// Returns the output of the log. Throws spdlog_ex if its file cannot be opened.
spdlog::sink_ptr MakeOutput(const LogSettings& settings);

// Creates an asynchronous logger. It never blocks its callers: if its queue is
// full, the oldest lines are dropped.
std::shared_ptr<spdlog::logger> MakeLogger(const LogSettings& settings,
                                           std::shared_ptr<LogSink> sink);

// Returns the wall time of the system.
core::base::WallTime SystemWallTime();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_EVENT_LOG_H_
