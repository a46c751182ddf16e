#include "node/event_log.h"

#include <spdlog/async.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dogwoodrail::node {
namespace {

using core::base::Event;
using core::base::EventLevel;
using core::base::EventSpec;
using core::base::WallTime;

constexpr std::size_t kQueuedLines = 8192;
// How long the end of the process waits for the log. The reader of a pipe may
// be alive and not read, and the time until a process is killed is short.
constexpr std::chrono::milliseconds kEndTimeout{200};
// How long it then waits to report the lines that were not written.
constexpr std::chrono::milliseconds kReportTimeout{20};

spdlog::level::level_enum ToSpdlogLevel(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return spdlog::level::debug;
    case EventLevel::kInfo:
      return spdlog::level::info;
    case EventLevel::kWarning:
      return spdlog::level::warn;
    case EventLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::uint32_t CategoryBit(core::base::EventCategory category) {
  return std::uint32_t{1} << static_cast<std::uint32_t>(category);
}

// Returns the bits of the categories that are logged at level debug too.
std::uint32_t DebugCategories(const LogSettings& settings) {
  std::uint32_t bits = 0;
  const auto& names = settings.debug;
  for (const auto it : core::base::EventCategories()) {
    const std::string name(core::base::EventCategoryText(it));
    if (std::find(names.begin(), names.end(), name) != names.end()) {
      bits |= CategoryBit(it);
    }
  }
  return bits;
}

EventLevel LevelOf(const Event& event) {
  const EventSpec* spec =
      core::base::FindEvent(static_cast<std::uint16_t>(event.number));
  return spec == nullptr ? EventLevel::kWarning : spec->level;
}

bool Matches(const LoggedEvent& logged, const EventQuery& query) {
  const Event& event = logged.event;
  if (!query.request.empty() && event.request != query.request) return false;
  if (!query.account.empty() && event.account != query.account) return false;
  return !query.number ||
         static_cast<std::uint16_t>(event.number) == *query.number;
}

}  // namespace

EventLog::EventLog(const LogSettings& settings, WallClock clock,
                   std::shared_ptr<spdlog::logger> logger,
                   std::shared_ptr<LogSink> sink)
    : capacity_(settings.timeline_events),
      clock_(std::move(clock)),
      logger_(std::move(logger)),
      sink_(std::move(sink)),
      debug_categories_(DebugCategories(settings)),
      lines_per_s_(settings.lines_per_s) {}

EventLog::~EventLog() { End(); }

void EventLog::End() {
  if (!sink_ || ended_.exchange(true)) return;
  sink_->SetDeadline(LogWriter::Clock::now() + kEndTimeout);
  const auto overrun = spdlog::thread_pool()->overrun_counter();
  spdlog::shutdown();
  const std::uint64_t lost = sink_->lost_lines() + overrun;
  if (lost == 0) return;
  LogWriter report(OpenStream(STDERR_FILENO));
  report.SetDeadline(LogWriter::Clock::now() + kReportTimeout);
  (void)report.Write("dogwoodrail: " + std::to_string(lost) +
                     " lines of the log were not written\n");
}

void EventLog::ApplySettings(const LogSettings& settings) {
  debug_categories_ = DebugCategories(settings);
  lines_per_s_ = settings.lines_per_s;
  if (logger_) logger_->set_level(spdlog::level::from_str(settings.level));
}

void EventLog::Record(Event event) {
  if (logger_ && !ended_) WriteLine(event);
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back({++last_sequence_, clock_(), std::move(event)});
  if (events_.size() > capacity_) events_.pop_front();
}

// Debug events of the categories in [log] debug are written at level info, so
// that a log at level info shows them.
void EventLog::WriteLine(const Event& event) {
  EventLevel level = LevelOf(event);
  const bool debug_category =
      (debug_categories_ & CategoryBit(GetEventCategory(event.number))) != 0;
  if (level == EventLevel::kDebug && debug_category) level = EventLevel::kInfo;
  if (!logger_->should_log(ToSpdlogLevel(level))) return;
  std::size_t suppressed = 0;
  if (!CheckLineLimit(event.number, suppressed)) return;
  std::string line = FormatEvent(event);
  if (suppressed > 0) line += " left_out=" + std::to_string(suppressed);
  logger_->log(ToSpdlogLevel(level), "{}", line);
}

bool EventLog::CheckLineLimit(core::base::EventNumber number,
                              std::size_t& suppressed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                          clock_().time_since_epoch())
                          .count();
  LineCount& lines = line_counts_[static_cast<std::uint16_t>(number)];
  if (second != lines.second) {
    lines.second = second;
    lines.written = 0;
  }
  if (lines.written >= lines_per_s_) {
    ++lines.suppressed;
    return false;
  }
  ++lines.written;
  suppressed = std::exchange(lines.suppressed, 0);
  return true;
}

std::vector<LoggedEvent> EventLog::Read(const EventQuery& query) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<LoggedEvent> found;
  auto it = std::upper_bound(events_.begin(), events_.end(), query.after,
                             [](std::uint64_t after, const LoggedEvent& event) {
                               return after < event.sequence;
                             });
  for (; it != events_.end() && found.size() < query.limit; ++it) {
    if (Matches(*it, query)) found.push_back(*it);
  }
  return found;
}

std::uint64_t EventLog::last_sequence() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return last_sequence_;
}

// Prevents log injection: text from callers could contain line breaks and
// terminal escapes.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return text;
}

std::string FormatEvent(const Event& event) {
  const auto number = static_cast<std::uint16_t>(event.number);
  const EventSpec* spec = core::base::FindEvent(number);
  std::string line = std::to_string(number) + " ";
  line += spec == nullptr ? "unknown" : std::string(spec->name);
  if (!event.request.empty()) line += " request=" + event.request.value();
  if (!event.account.empty()) line += " account=" + event.account.value();
  if (!event.detail.empty()) line += " " + event.detail;
  return Printable(std::move(line));
}

core::base::Result<std::shared_ptr<LogSink>> MakeLogSink(
    const LogSettings& settings) {
  if (!settings.file.empty()) {
    const auto fd = OpenFile(settings.file);
    if (!fd) return tl::make_unexpected(fd.error());
    return std::make_shared<LogSink>(*fd);
  }
  return std::make_shared<LogSink>(
      OpenStream(settings.output == "stdout" ? STDOUT_FILENO : STDERR_FILENO));
}

// Logging is asynchronous, as the output may be a pipe that nobody reads and
// request processing must not block on it. An error of the library must not be
// printed to stderr, which may be the same pipe.
std::shared_ptr<spdlog::logger> MakeLogger(const LogSettings& settings,
                                           std::shared_ptr<LogSink> sink) {
  if (!spdlog::thread_pool()) spdlog::init_thread_pool(kQueuedLines, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "dogwoodrail", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  logger->set_level(spdlog::level::from_str(settings.level));
  logger->set_error_handler([](const std::string& /*problem*/) {});
  spdlog::register_logger(logger);
  return logger;
}

core::base::Result<std::unique_ptr<EventLog>> MakeEventLog(
    const LogSettings& settings) {
  auto sink = MakeLogSink(settings);
  if (!sink) {
    return core::base::MakeError(sink.error().code,
                                 "[log] file: " + sink.error().detail);
  }
  return std::make_unique<EventLog>(settings, &SystemWallTime,
                                    MakeLogger(settings, *sink), *sink);
}

WallTime SystemWallTime() {
  return std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now());
}

}  // namespace dogwoodrail::node
