#ifndef DOGWOODRAIL_REVIEW_COMMON_KEPT_CALLERS_H_
#define DOGWOODRAIL_REVIEW_COMMON_KEPT_CALLERS_H_

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace dogwoodrail::review {

// Clients of one machine, each with a kept connection on which it sends one
// request after the other.
class KeptCallers {
 public:
  // `attempt` is repeated with an id of its own each time.
  KeptCallers(Fleet* fleet, std::size_t machine, Attempt attempt, int count,
              Record* record);

  void Start();
  // Waits until each client has its last answer.
  void Stop();
  // The rule LOST, "at any time": counts the requests that were sent on a kept
  // connection, that an instance ran, and whose connection was closed without
  // an answer before the client's deadline. Writes each of them to the record.
  int CountLost();
  // Number of requests that got a success.
  int served() const { return served_; }

 private:
  struct Closed {
    std::string id;
    std::int64_t sent_ms = 0;
    std::int64_t closed_ms = 0;
  };

  void Ask(int number);

  Fleet& fleet_;
  std::size_t machine_;
  Attempt attempt_;
  int count_;
  Record* record_;
  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::vector<Closed> closed_;
  std::vector<std::thread> threads_;
};

}  // namespace dogwoodrail::review

#endif  // DOGWOODRAIL_REVIEW_COMMON_KEPT_CALLERS_H_
