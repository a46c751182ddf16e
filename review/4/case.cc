// Stops one node as planned while the instance beside it runs requests. The
// instance makes the calls that they need more than 3 s after the SIGTERM.
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../common/platform.h"

namespace dogwoodrail::review {
namespace {

constexpr int kRequests = 12;
constexpr int kTimeoutMs = 9000;
constexpr std::int64_t kDeadlineMs = 8500;
// Work before the call, and of the call.
constexpr std::int64_t kFrontMs = 3600;
constexpr std::int64_t kInnerMs = 2200;
constexpr std::int64_t kBeforeStopMs = 300;
constexpr std::int64_t kGraceMs = 6000;  // grace_s
// Calls sent no later than this are excused if they last until the last sixth
// of the grace time.
constexpr std::int64_t kExcusedMs = 3000;
constexpr int kFront = 2;
constexpr int kInner = 2;

// A call of an instance and what became of it.
struct Call {
  std::string id;
  std::string machine;
  std::int64_t deadline_ms = 0;
  Answer answer;
};

std::mutex calls_mutex;
std::vector<Call> calls;

// Runs for a time, then calls /inner/ through the node of the machine. The call
// expires with the request, and the request fails with it.
int RunFront(const Machine& machine, const Message& request, Record* record) {
  const std::int64_t begin = NowMs();
  SleepMs(kFrontMs);
  Call call;
  call.id = request.Get("Attempt-Id") + "-call";
  call.machine = machine.name;
  Attempt attempt;
  attempt.target = "/inner/x";
  attempt.id = call.id;
  attempt.deadline_ms =
      std::atoll(request.Get("Deadline-Ms").c_str()) - (NowMs() - begin);
  call.deadline_ms = attempt.deadline_ms;
  record->Write("call " + call.id + " sent at " + machine.name + ", " +
                std::to_string(attempt.deadline_ms) + " ms left");
  call.answer = Send(machine.ip, attempt);
  record->Write("call " + call.id + " answered " +
                std::to_string(call.answer.status) + " " +
                call.answer.message.body);
  const std::lock_guard<std::mutex> lock(calls_mutex);
  calls.push_back(call);
  return call.answer.status == 200 ? 200 : 500;
}

// The rule LOST after a SIGTERM: the call was passed on, its instance was at
// work, and the node ended it without the instance's answer.
int CountLost(Fleet* fleet, std::int64_t stop_ms, Record* record) {
  std::map<std::string, Run> runs;
  for (const Run& it : fleet->AllRuns()) runs[it.attempt_id] = it;
  int lost = 0;
  const std::lock_guard<std::mutex> lock(calls_mutex);
  for (const Call& it : calls) {
    const std::int64_t after_stop = it.answer.sent_ms - stop_ms;
    const std::int64_t taken = it.answer.ended_ms - it.answer.sent_ms;
    const auto run = runs.find(it.id);
    const bool is_counted = it.machine == "m1" && after_stop > kExcusedMs &&
                            run != runs.end() && taken < it.deadline_ms &&
                            taken < kTimeoutMs;
    if (!is_counted || it.answer.message.Has("Response-Seal")) continue;
    ++lost;
    record->Write("lost call=" + it.id + ", sent " +
                  std::to_string(after_stop) + " ms after SIGTERM, run at " +
                  run->second.instance + ", ended by the node after " +
                  std::to_string(taken) + " ms of " +
                  std::to_string(it.deadline_ms) + " with " +
                  std::to_string(it.answer.status));
  }
  return lost;
}

int Main(const std::string& path) {
  Record record(path);
  Fleet fleet(FreePrefix(), &record);
  for (int it = 0; it < kFront; ++it) {
    fleet.Add("wages", "alm-a", 58,
              [&record](const Machine& machine, const Message& request) {
                Work work;
                if (request.target == "/front/probe") return work;
                work.task = [&record, machine](const Message& message) {
                  return RunFront(machine, message, &record);
                };
                return work;
              });
  }
  for (int it = 0; it < kInner; ++it) {
    fleet.Add("batches", "alm-a", 58, [](const Machine&, const Message&) {
      Work work;
      work.ms = kInnerMs;
      return work;
    });
  }
  Attempt probe;
  probe.target = "/front/probe";
  probe.key = "key-1";
  const std::string config = ConfigText(
      1, kLimits, R"([{"name":"stitchers","api_keys":["key-1"],"priority":1}])",
      {RuleText("front", "/front/", "idempotent", "wages", kTimeoutMs, 2,
                false),
       RuleText("inner", "/inner/", "idempotent", "batches", kTimeoutMs, 2,
                true)},
      {"wages", "batches"});
  if (!fleet.Start(config, probe)) {
    Finish(&fleet, &record, 2, "the fleet did not start");
  }
  SleepMs(1500);
  std::vector<std::thread> clients;
  for (int it = 0; it < kRequests; ++it) {
    // The clients are at other machines than the one that is stopped.
    const std::string ip = fleet.node(1 + it % 3).machine().ip;
    clients.emplace_back([&record, ip, it] {
      Attempt attempt;
      attempt.target = "/front/" + std::to_string(it);
      attempt.key = "key-1";
      attempt.id = "p" + std::to_string(it);
      attempt.deadline_ms = kDeadlineMs;
      const Answer answer = Send(ip, attempt);
      record.Write("request " + attempt.id + " answered " +
                   std::to_string(answer.status));
    });
  }
  SleepMs(kBeforeStopMs);
  const std::int64_t stop_ms = NowMs();
  std::string how = "runs on";
  if (HasTrouble()) fleet.node(0).Signal(SIGTERM);
  while (NowMs() < stop_ms + kGraceMs && !fleet.node(0).HasEnded(&how)) {
    SleepMs(10);
  }
  if (HasTrouble()) fleet.node(0).Signal(SIGKILL);
  for (std::thread& it : clients) it.join();
  bool has_calls = false;
  for (const Call& it : calls) has_calls = has_calls || it.machine == "m1";
  if (!has_calls) {
    Finish(&fleet, &record, 2, "no request ran beside the stopped node");
  }
  const int lost = CountLost(&fleet, stop_ms, &record);
  Finish(&fleet, &record, lost > 0 ? 1 : 0,
         "LOST: " + std::to_string(lost) + " of " +
             std::to_string(calls.size()) +
             " calls were broken off by the stopping node; the node: " + how);
}

}  // namespace
}  // namespace dogwoodrail::review

int main(int argc, char** argv) {
  return dogwoodrail::review::RunCase(argc, argv, &dogwoodrail::review::Main);
}
