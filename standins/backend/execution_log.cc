#include "standins/backend/execution_log.h"

#include "standins/common/json_func.h"
#include "standins/common/request_func.h"

namespace dogwoodrail::standin {
namespace {

std::string HeaderValue(const HttpRequest& request, const char* name) {
  const auto value = request[name];
  return std::string(value.data(), value.size());
}

const char* StateText(ExecutionState state) {
  switch (state) {
    case ExecutionState::kRunning:
      return "running";
    case ExecutionState::kFinished:
      return "finished";
    case ExecutionState::kCancelled:
      return "cancelled";
  }
  return "running";
}

}  // namespace

ExecutionLog::ExecutionLog(const std::string& path) {
  if (!path.empty()) file_.open(path, std::ios::app);
}

std::size_t ExecutionLog::Begin(const HttpRequest& request,
                                const std::string& leak) {
  Execution execution;
  execution.request_id = HeaderValue(request, "Dogwood-Request-Id");
  execution.idempotency_key = HeaderValue(request, "Idempotency-Key");
  execution.account = HeaderValue(request, "Dogwood-Account");
  execution.importance = HeaderValue(request, "Dogwood-Importance");
  execution.attempt = HeaderValue(request, "Dogwood-Attempt");
  execution.target =
      std::string(request.target().data(), request.target().size());
  execution.digest = RequestDigest(execution.target, request.body());
  execution.leak = leak;
  execution.begun_ms = WallNow().count();
  executions_.push_back(execution);
  Append(executions_.size() - 1);
  return executions_.size() - 1;
}

void ExecutionLog::End(std::size_t index, ExecutionState state) {
  executions_[index].state = state;
  executions_[index].finished_ms = WallNow().count();
  Append(index);
}

std::string ExecutionLog::Text(std::size_t from) const {
  std::string out;
  for (std::size_t it = from; it < executions_.size(); ++it) {
    if (!out.empty()) out += ",\n";
    out += ToJson(it);
  }
  return "[" + out + "]";
}

std::string ExecutionLog::ToJson(std::size_t index) const {
  const Execution& execution = executions_[index];
  return JsonObject()
      .Add("place", static_cast<std::int64_t>(index))
      .Add("request_id", execution.request_id)
      .Add("idempotency_key", execution.idempotency_key)
      .Add("account", execution.account)
      .Add("importance", execution.importance)
      .Add("attempt", execution.attempt)
      .Add("target", execution.target)
      .Add("digest", execution.digest)
      .Add("leak", execution.leak)
      .Add("begun_ms", execution.begun_ms)
      .Add("finished_ms", execution.finished_ms)
      .Add("state", StateText(execution.state))
      .Text();
}

void ExecutionLog::Append(std::size_t index) {
  if (file_.is_open()) file_ << ToJson(index) << std::endl;
}

}  // namespace dogwoodrail::standin
