// Sends one heartbeat that no reader of UTF-8 can read to the control address
// of a machine, while clients of the machine have requests in progress.
#include <string>

#include "../common/kept_callers.h"
#include "../common/platform.h"

namespace dogwoodrail::review {
namespace {

constexpr int kMachines = 3;
constexpr int kCallers = 12;
constexpr int kAllowed = 3;  // LOST: "more than three times"
constexpr std::int64_t kWorkMs = 400;

// A heartbeat of another writer, which writes the name of its instance in
// Latin-1.
void SendOddHeartbeat(const Machine& machine, Record* record) {
  const std::string body =
      R"({"service":")" + machine.service + R"(","addr":")" + machine.ip + ":" +
      std::to_string(kAppPort) + R"(","zone":")" + machine.zone +
      R"(","version":"v1","capacity":20,"state":"draining","born":)" +
      std::to_string(UnixMs()) + R"(,"cold_left_ms":0,"sequence":1})";
  const int fd = Connect(machine.ip, kControlPort, 1000);
  WriteAll(fd, FormatRequest(
                   "POST", "/dogwoodrail/instances/i-k\xe4rdla/heartbeat",
                   {{"Host", machine.ip}, {"Content-Type", "application/json"}},
                   body));
  std::string rest;
  Message answer;
  const ReadEnd end = ReadMessage(fd, &rest, &answer, NowMs() + 1000);
  record->Write(
      "heartbeat of i-k?rdla (byte E4) to the control address of " +
      machine.name + ": " +
      (end == ReadEnd::kWhole ? std::to_string(answer.status) : "no answer"));
}

int Main(const std::string& path) {
  Record record(path);
  Fleet fleet(FreePrefix(), &record);
  for (int it = 0; it < kMachines; ++it) {
    fleet.Add("lots", "alm-a", 58, [](const Machine&, const Message&) {
      Work work;
      work.ms = kWorkMs;
      return work;
    });
  }
  Attempt attempt;
  attempt.target = "/read/lot";
  attempt.key = "key-1";
  const std::string config = ConfigText(
      1, kLimits, R"([{"name":"stitchers","api_keys":["key-1"],"priority":1}])",
      {RuleText("read", "/read/", "idempotent", "lots", 4000, 2, false)},
      {"lots"});
  if (!fleet.Start(config, attempt)) {
    Finish(&fleet, &record, 2, "the fleet did not start");
  }
  KeptCallers callers(&fleet, 0, attempt, kCallers, &record);
  callers.Start();
  SleepMs(2000);
  if (HasTrouble()) SendOddHeartbeat(fleet.node(0).machine(), &record);
  std::string how = "runs on";
  const std::int64_t end = NowMs() + 2000;
  while (NowMs() < end && !fleet.node(0).HasEnded(&how)) SleepMs(10);
  callers.Stop();
  const int lost = callers.CountLost();
  Finish(&fleet, &record, lost > kAllowed ? 1 : 0,
         "LOST: " + std::to_string(lost) +
             " requests passed on and closed without an answer (allowed " +
             std::to_string(kAllowed) + "), " +
             std::to_string(callers.served()) + " served; the node: " + how);
}

}  // namespace
}  // namespace dogwoodrail::review

int main(int argc, char** argv) {
  return dogwoodrail::review::RunCase(argc, argv, &dogwoodrail::review::Main);
}
