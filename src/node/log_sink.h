#ifndef DOGWOODRAIL_NODE_LOG_SINK_H_
#define DOGWOODRAIL_NODE_LOG_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

namespace dogwoodrail::node {

// Passes lines to the output of the log and counts them, so that the end of the
// process can tell whether all are written. The output may block for as long as
// its reader does not read.
class LogSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit LogSink(spdlog::sink_ptr output) : output_(std::move(output)) {}

  // Lines written; thread-safe.
  std::uint64_t written_lines() const { return written_lines_; }
  // Lines that the output failed to write; thread-safe.
  std::uint64_t failed_lines() const { return failed_lines_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { output_->flush(); }
  void set_formatter_(std::unique_ptr<spdlog::formatter> formatter) override {
    output_->set_formatter(std::move(formatter));
  }

 private:
  const spdlog::sink_ptr output_;
  std::atomic<std::uint64_t> written_lines_{0};
  std::atomic<std::uint64_t> failed_lines_{0};
};

// Writes a short text to stderr unless that would block for longer than the
// timeout.
void WriteToStderr(std::string_view text, std::chrono::milliseconds timeout);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_LOG_SINK_H_
