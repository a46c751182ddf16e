#ifndef DOGWOODRAIL_STANDINS_BACKEND_EXECUTION_LOG_H_
#define DOGWOODRAIL_STANDINS_BACKEND_EXECUTION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "standins/common/http_server.h"

namespace dogwoodrail::standin {

// State of an execution.
enum class ExecutionState { kRunning, kFinished, kCancelled };

// One execution of a request by the backend server.
struct Execution {
  std::string request_id;
  std::string idempotency_key;
  std::string account;
  std::string importance;
  std::string attempt;
  std::string target;
  std::string digest;         // see RequestDigest()
  std::string leak;           // key found in the request, or empty
  std::int64_t begun_ms = 0;  // wall-clock time
  std::int64_t finished_ms = 0;
  ExecutionState state = ExecutionState::kRunning;
};

// Executions in order of their start. Each start and end is also appended to a
// file as one flushed line, so that the log survives a crash of the process.
class ExecutionLog {
 public:
  // An empty `path` disables the file.
  explicit ExecutionLog(const std::string& path);

  // Logs the start of an execution and returns its index.
  std::size_t Begin(const HttpRequest& request, const std::string& leak);
  // Logs the end of an execution.
  void End(std::size_t index, ExecutionState state);
  // Returns a JSON array of the executions from index `from` on.
  std::string Text(std::size_t from) const;
  // Returns the number of executions started.
  std::size_t size() const { return executions_.size(); }

 private:
  std::string ToJson(std::size_t index) const;
  void Append(std::size_t index);

  std::vector<Execution> executions_;
  std::ofstream file_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_BACKEND_EXECUTION_LOG_H_
