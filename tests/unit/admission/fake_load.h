#ifndef DOGWOODRAIL_TESTS_UNIT_ADMISSION_FAKE_LOAD_H_
#define DOGWOODRAIL_TESTS_UNIT_ADMISSION_FAKE_LOAD_H_

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/admission/admission_control.h"

namespace dogwoodrail::core::admission {

// Simulated backend server.
struct FakeBackend {
  enum class Kind {
    kQueueing,  // calls above the slots wait in its own queue
    kSharing,   // calls above the slots slow down all calls
    kShedding,  // calls above the slots are refused
  };
  enum class Distribution { kConstant, kExponential, kLogNormal };

  Kind kind = Kind::kQueueing;
  Distribution distribution = Distribution::kExponential;
  std::size_t slots = 15;
  base::Duration service_time = std::chrono::milliseconds(20);
  // Multiplier of the service time over time.
  std::function<double(base::TimePoint)> slowdown;
  // Number of slots reported once a second; 0 for no report.
  std::function<std::uint32_t(base::TimePoint)> report;
};

// Open-loop load of one account; refused calls are retried.
struct FakeCaller {
  std::string account;
  base::Importance importance = base::Importance::kLookup;
  std::function<double(base::TimePoint)> rate_per_s;
  base::Duration timeout = std::chrono::milliseconds(500);
  int max_attempts = 1;
  base::Duration retry_pause = std::chrono::milliseconds(20);
};

// Counts of one caller during a run.
struct FakeCount {
  double offered = 0;  // first attempts
  double good = 0;     // answered in time
  double refused = 0;  // refused attempts
  double wasted = 0;   // executed, but answered after the deadline
};

// Simulates callers and a backend server around an admission control in virtual
// time. Records priority inversions and the longest queue.
class FakeLoad {
 public:
  FakeLoad(const AdmissionSettings& settings, FakeBackend backend,
           std::vector<FakeCaller> callers, std::uint64_t seed);

  // Runs for the given time and returns the counts per caller.
  std::vector<FakeCount> Run(base::Duration time);
  // Runs for the given time and returns the calls answered in time per second.
  double Goodput(base::Duration time);

  AdmissionControl control;
  base::TimePoint now{std::chrono::seconds(1)};
  int inversions = 0;  // calls started while a more important call was queued
  std::size_t most_queued = 0;

 private:
  // A call as seen by its caller.
  struct Call {
    std::size_t caller = 0;
    int attempt = 1;
    base::TimePoint deadline;
    base::TimePoint started;
    bool waiting = false;
  };
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };

  void At(base::TimePoint at, std::function<void()> run);
  void Arrive(std::size_t caller);
  void Offer(Call call);
  void Apply(const AdmissionActions& actions);
  void Start(std::uint64_t id);
  void Execute(std::uint64_t id);
  void End(std::uint64_t id, ExecutionResult result);
  void Retry(Call call);
  void Tick();
  double ServiceMicros();

  FakeBackend backend_;
  std::vector<FakeCaller> callers_;
  base::Random random_;
  std::vector<FakeCount> counts_;
  std::map<std::uint64_t, Call> calls_;
  std::multiset<int> waiting_;  // importance of each queued call
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::queue<std::uint64_t> backend_queue_;
  std::size_t in_backend_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_order_ = 1;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_TESTS_UNIT_ADMISSION_FAKE_LOAD_H_
