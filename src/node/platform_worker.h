#ifndef DOGWOODRAIL_NODE_PLATFORM_WORKER_H_
#define DOGWOODRAIL_NODE_PLATFORM_WORKER_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "objectapi/object_store.h"

namespace dogwoodrail::node {

// Thread pool for the blocking calls to the platform's Object API. A job posts
// its own result to the node's event loop.
class PlatformWorker {
 public:
  using Job = std::function<void(objectapi::ObjectStore&)>;

  PlatformWorker(std::unique_ptr<objectapi::ObjectStore> store,
                 std::size_t thread_count);
  // Waits for the running jobs and discards the queued ones.
  ~PlatformWorker();
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  // Queues a job; may be called from any thread.
  void Submit(Job job);

 private:
  void RunJobs();

  std::unique_ptr<objectapi::ObjectStore> store_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_PLATFORM_WORKER_H_
