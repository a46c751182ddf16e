#include "kept_callers.h"

#include <map>
#include <utility>

namespace dogwoodrail::review {

KeptCallers::KeptCallers(Fleet* fleet, std::size_t machine, Attempt attempt,
                         int count, Record* record)
    : fleet_(*fleet),
      machine_(machine),
      attempt_(std::move(attempt)),
      count_(count),
      record_(record) {}

void KeptCallers::Start() {
  for (int it = 0; it < count_; ++it) {
    threads_.emplace_back([this, it] { Ask(it); });
  }
}

void KeptCallers::Stop() {
  stop_ = true;
  for (std::thread& it : threads_) it.join();
  threads_.clear();
}

// A refusal of a connection is no close of a request.
void KeptCallers::Ask(int number) {
  const std::string ip = fleet_.node(machine_).machine().ip;
  int kept = -1;
  for (int it = 0; !stop_; ++it) {
    Attempt attempt = attempt_;
    attempt.id = "k" + std::to_string(number) + "-" + std::to_string(it);
    const bool was_kept = kept >= 0;
    const Answer answer = Send(ip, attempt, &kept);
    if (answer.status == 200) ++served_;
    record_->WriteRequest("attempt " + attempt.id +
                          " sent=" + std::to_string(answer.sent_ms) +
                          (was_kept ? " kept" : " new") +
                          " answered=" + std::to_string(answer.status));
    if (was_kept && answer.end == ReadEnd::kClosed) {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_.push_back({attempt.id, answer.sent_ms, answer.ended_ms});
    }
    if (answer.status != 200) SleepMs(100);
  }
}

int KeptCallers::CountLost() {
  std::map<std::string, Run> runs;
  for (const Run& it : fleet_.AllRuns()) runs[it.attempt_id] = it;
  int lost = 0;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Closed& it : closed_) {
    const auto run = runs.find(it.id);
    if (run == runs.end()) continue;
    ++lost;
    record_->Write("lost id=" + it.id + " sent=" + std::to_string(it.sent_ms) +
                   " run=" + std::to_string(run->second.began_ms) + " at " +
                   run->second.instance + ", closed=" +
                   std::to_string(it.closed_ms) + " without an answer");
  }
  return lost;
}

}  // namespace dogwoodrail::review
