#ifndef DOGWOODRAIL_LOADTOOL_LOAD_RUN_H_
#define DOGWOODRAIL_LOADTOOL_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/random_type.h"
#include "loadtool/profile_type.h"
#include "loadtool/record_type.h"
#include "standins/common/http_client.h"

namespace dogwoodrail::loadtool {

using ClientPtr = std::shared_ptr<standin::HttpClient>;

// Servers that receive calls in round-robin order.
struct TargetSet {
  std::vector<ClientPtr> clients;
  std::size_t next = 0;

  // Returns the next server in the rotation.
  standin::HttpClient& Next();
};

// Generates the load of a profile. The load is open-loop: requests are sent at
// their arrival times without waiting for earlier responses.
class LoadRun {
 public:
  // A call is sent to the targets of its service, or to the targets of "" if
  // the service has none.
  LoadRun(boost::asio::io_context& io, const Profile& profile,
          std::map<std::string, TargetSet> targets);

  // Sends all requests and returns when the last one is complete.
  RunRecord Run();

 private:
  using Clock = std::chrono::steady_clock;
  // Arrival process and token bucket of an account.
  struct ArrivalState {
    explicit ArrivalState(boost::asio::io_context& io) : timer(io) {}

    boost::asio::steady_timer timer;
    std::chrono::microseconds next{0};
    double tokens = 0;  // of the account's rate, tracked by the caller
    std::chrono::microseconds last_refill{0};
  };
  // A request in progress.
  struct Pending {
    std::size_t record_index = 0;
    std::string target;
    std::string body;
    std::string idempotency_key;
  };

  void ScheduleNext(std::size_t account);
  void OnArrival(std::size_t account);
  std::size_t ChooseRoute();
  void Send(const std::shared_ptr<Pending>& pending);
  void OnOutcome(const std::shared_ptr<Pending>& pending, bool in_rate,
                 const standin::HttpOutcome& outcome);
  RequestResult Classify(const Pending& pending,
                         const standin::HttpOutcome& outcome);
  void CountRefusal(const RequestRecord& record, bool in_rate);
  bool TryTakeToken(std::size_t account);
  TargetSet& TargetsOf(const std::string& service);
  std::chrono::microseconds Now() const;
  std::chrono::milliseconds TimeLeft(const RequestRecord& record) const;

  boost::asio::io_context& io_;
  const Profile& profile_;
  std::map<std::string, TargetSet> targets_;
  core::base::Random random_;
  std::vector<std::unique_ptr<ArrivalState>> arrivals_;
  Clock::time_point start_;
  RunRecord record_;
};

}  // namespace dogwoodrail::loadtool

#endif  // DOGWOODRAIL_LOADTOOL_LOAD_RUN_H_
