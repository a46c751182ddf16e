#include "node/log_sink.h"

#include <poll.h>
#include <spdlog/common.h>
#include <unistd.h>

#include <utility>

namespace dogwoodrail::node {

void LogSink::sink_it_(const spdlog::details::log_msg& message) {
  try {
    output_->log(message);
    output_->flush();
    ++written_lines_;
  } catch (const spdlog::spdlog_ex&) {
    ++failed_lines_;
  }
}

void WriteToStderr(std::string_view text, std::chrono::milliseconds timeout) {
  pollfd wait{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&wait, 1, static_cast<int>(timeout.count())) <= 0) return;
  (void)!::write(STDERR_FILENO, text.data(), text.size());
}

}  // namespace dogwoodrail::node
