#include "tests/unit/admission/fake_load.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace dogwoodrail::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kTickInterval = milliseconds(10);

// Standard deviation of the logarithm of the log-normal service time.
constexpr double kLogSigma = 1.0;

}  // namespace

FakeLoad::FakeLoad(const AdmissionSettings& settings, FakeBackend backend,
                   std::vector<FakeCaller> callers, std::uint64_t seed)
    : control(settings, seed),
      backend_(std::move(backend)),
      callers_(std::move(callers)),
      random_(seed),
      counts_(callers_.size()) {
  control.SetState(base::BackendServerState::kReady, now);
  for (std::size_t it = 0; it < callers_.size(); ++it) Arrive(it);
  Tick();
}

std::vector<FakeCount> FakeLoad::Run(base::Duration time) {
  const base::TimePoint end = now + time;
  counts_.assign(callers_.size(), FakeCount());
  while (events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now = event.at;
    event.run();
  }
  now = end;
  return counts_;
}

double FakeLoad::Goodput(base::Duration time) {
  double good = 0;
  for (const FakeCount& it : Run(time)) good += it.good;
  return good / std::chrono::duration<double>(time).count();
}

void FakeLoad::At(base::TimePoint at, std::function<void()> run) {
  events_.push({at, next_order_++, std::move(run)});
}

void FakeLoad::Arrive(std::size_t caller) {
  const FakeCaller& it = callers_[caller];
  const double rate = std::max(0.01, it.rate_per_s(now));
  const double gap = -std::log(1 - base::RandomUnit(random_)) / rate;
  const auto pause =
      base::Duration(static_cast<std::int64_t>(1e6 * std::min(gap, 0.1)));
  // Longer gaps are drawn again, because the rate may change.
  const bool arrives = gap < 0.1;
  At(now + pause, [this, caller, arrives] {
    if (arrives) {
      ++counts_[caller].offered;
      Offer({caller, 1, now + callers_[caller].timeout, {}, false});
    }
    Arrive(caller);
  });
}

void FakeLoad::Offer(Call call) {
  const FakeCaller& caller = callers_[call.caller];
  const std::uint64_t id = next_id_++;
  const AdmissionDecision decision =
      control.Offer({base::CallId(id), base::AccountName(caller.account),
                     caller.importance, false, call.deadline},
                    now);
  calls_[id] = call;
  Apply(decision.actions);
  switch (decision.result) {
    case AdmissionResult::kRun:
      Start(id);
      break;
    case AdmissionResult::kQueued:
      calls_[id].waiting = true;
      waiting_.insert(static_cast<int>(caller.importance));
      most_queued = std::max(most_queued, waiting_.size());
      break;
    case AdmissionResult::kRefused:
      calls_.erase(id);
      ++counts_[call.caller].refused;
      Retry(call);
      break;
  }
}

void FakeLoad::Apply(const AdmissionActions& actions) {
  for (const AdmissionAction& it : actions) {
    const std::uint64_t id = it.call.value();
    Call& call = calls_.at(id);
    const int importance = static_cast<int>(callers_[call.caller].importance);
    waiting_.erase(waiting_.find(importance));
    call.waiting = false;
    if (it.kind == AdmissionAction::Kind::kRun) {
      Start(id);
      continue;
    }
    ++counts_[call.caller].refused;
    const Call refused = call;
    calls_.erase(id);
    Retry(refused);
  }
}

void FakeLoad::Start(std::uint64_t id) {
  Call& call = calls_.at(id);
  const int importance = static_cast<int>(callers_[call.caller].importance);
  if (!waiting_.empty() && *waiting_.rbegin() > importance) ++inversions;
  call.started = now;
  const bool full = in_backend_ >= backend_.slots;
  if (full && backend_.kind == FakeBackend::Kind::kShedding) {
    At(now + milliseconds(1),
       [this, id] { End(id, ExecutionResult::kShedByBackend); });
  } else if (full && backend_.kind == FakeBackend::Kind::kQueueing) {
    backend_queue_.push(id);
  } else {
    Execute(id);
  }
}

void FakeLoad::Execute(std::uint64_t id) {
  ++in_backend_;
  double micros = ServiceMicros();
  if (in_backend_ > backend_.slots) {
    micros *=
        static_cast<double>(in_backend_) / static_cast<double>(backend_.slots);
  }
  At(now + base::Duration(static_cast<std::int64_t>(micros)), [this, id] {
    --in_backend_;
    if (!backend_queue_.empty()) {
      const std::uint64_t next = backend_queue_.front();
      backend_queue_.pop();
      Execute(next);
    }
    End(id, ExecutionResult::kOk);
  });
}

void FakeLoad::End(std::uint64_t id, ExecutionResult result) {
  const Call call = calls_.at(id);
  calls_.erase(id);
  FakeCount& count = counts_[call.caller];
  if (result == ExecutionResult::kShedByBackend) {
    ++count.refused;
    Retry(call);
  } else {
    ++(now <= call.deadline ? count.good : count.wasted);
  }
  Apply(control.Finish(base::CallId(id), {now - call.started, result}, now));
}

void FakeLoad::Retry(Call call) {
  const FakeCaller& caller = callers_[call.caller];
  if (call.attempt >= caller.max_attempts) return;
  ++call.attempt;
  call.deadline = now + caller.retry_pause + caller.timeout;
  At(now + caller.retry_pause, [this, call] { Offer(call); });
}

void FakeLoad::Tick() {
  Apply(control.Tick(now));
  if (backend_.report && now.time_since_epoch() % seconds(1) < kTickInterval) {
    control.OnLoadReport({backend_.report(now), 0, 0}, now);
  }
  At(now + kTickInterval, [this] { Tick(); });
}

double FakeLoad::ServiceMicros() {
  double micros = static_cast<double>(backend_.service_time.count());
  if (backend_.slowdown) micros *= backend_.slowdown(now);
  if (backend_.distribution == FakeBackend::Distribution::kExponential) {
    micros *= -std::log(1 - base::RandomUnit(random_));
  } else if (backend_.distribution == FakeBackend::Distribution::kLogNormal) {
    std::normal_distribution<double> normal(-kLogSigma * kLogSigma / 2,
                                            kLogSigma);
    micros *= std::exp(normal(random_));
  }
  return micros;
}

}  // namespace dogwoodrail::core::admission
