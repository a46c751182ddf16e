#ifndef DOGWOODRAIL_STANDINS_BACKEND_BACKEND_SERVER_H_
#define DOGWOODRAIL_STANDINS_BACKEND_BACKEND_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "standins/backend/announcer.h"
#include "standins/backend/backend_type.h"
#include "standins/backend/execution_log.h"
#include "standins/common/http_client.h"
#include "standins/common/http_server.h"

namespace dogwoodrail::standin {

// Stand-in backend server with a limited number of slots, a queue and a
// simulated service time.
class BackendServer {
 public:
  BackendServer(asio::io_context& io, BackendOptions options);

  // Starts listening and announcing.
  void Start();
  // Announces the state "draining" and stops the event loop once at least
  // `min_drain` has passed and no request is running or queued.
  void Drain();

 private:
  // A request that is being executed.
  struct Job {
    ExchangePtr exchange;
    std::size_t log_index = 0;  // in the execution log
    asio::steady_timer timer;
    std::shared_ptr<HttpCall> downstream;
    bool finished = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  void Handle(const ExchangePtr& exchange);
  void HandleExecutions(const ExchangePtr& exchange);
  void HandleControl(const ExchangePtr& exchange);
  void Admit(const ExchangePtr& exchange);
  void Refuse(const ExchangePtr& exchange);
  void Run(const ExchangePtr& exchange);
  void RunNextQueued();
  void CallNext(const JobPtr& job);
  // Returns the response status for the outcome of a call to `next`.
  http::status NextStatus(const HttpRequest& request,
                          const HttpOutcome& outcome) const;
  void Finish(const JobPtr& job, http::status status,
              const std::string& next_response);
  void End(const JobPtr& job, ExecutionState state);
  void CheckDrained();
  // Returns the first part of the request that contains a client account's key
  // (an Authorization header or the leak marker), or an empty string.
  std::string FindLeakedKey(const HttpRequest& request) const;
  std::chrono::microseconds ServiceTime() const;
  LoadReport CurrentLoad() const;

  asio::io_context& io_;
  BackendOptions options_;
  BackendControl control_;
  HttpServer server_;
  std::shared_ptr<HttpClient> node_;
  Announcer announcer_;
  ExecutionLog log_;
  std::deque<ExchangePtr> queue_;
  int in_use_ = 0;
  std::int64_t refused_ = 0;
  bool draining_ = false;
  std::chrono::steady_clock::time_point drain_until_;
  asio::steady_timer drain_timer_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_BACKEND_BACKEND_SERVER_H_
