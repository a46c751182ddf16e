#include "node/platform_worker.h"

#include <utility>

namespace dogwoodrail::node {

PlatformWorker::PlatformWorker(std::unique_ptr<objectapi::ObjectStore> store,
                               std::size_t thread_count)
    : store_(std::move(store)) {
  for (std::size_t it = 0; it < thread_count; ++it) {
    threads_.emplace_back([this] { RunJobs(); });
  }
}

PlatformWorker::~PlatformWorker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    jobs_.clear();
  }
  changed_.notify_all();
  for (std::thread& it : threads_) it.join();
}

void PlatformWorker::Submit(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) return;
    jobs_.push_back(std::move(job));
  }
  changed_.notify_one();
}

void PlatformWorker::RunJobs() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (jobs_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job(*store_);
    lock.lock();
  }
}

}  // namespace dogwoodrail::node
