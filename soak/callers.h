#ifndef DOGWOODRAIL_SOAK_CALLERS_H_
#define DOGWOODRAIL_SOAK_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/checker.h"
#include "soak/soak_fleet.h"

namespace dogwoodrail::soak {

// Time since the start of the run.
class RunClock {
 public:
  std::chrono::milliseconds Now() const;

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

// Callers in threads of their own. Each keeps its connection to one node until
// the node closes it.
class Callers {
 public:
  // Starts `per_vm` callers for each node of the fleet.
  Callers(const SoakFleet& fleet, const RunClock& clock, std::size_t per_vm);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Returns the requests that have ended so far.
  std::vector<RequestRecord> Records();
  // Ends the callers once their requests have ended.
  void Stop();

 private:
  void Run(std::size_t vm, std::size_t caller, std::uint16_t port);
  integration::RawRequest MakeRequest(const std::string& name,
                                      std::size_t number,
                                      RequestRecord& record);

  const SoakFleet& fleet_;
  const RunClock& clock_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<RequestRecord> records_;
  std::vector<std::thread> threads_;
};

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_CALLERS_H_
