#include "soak/callers.h"

#include <memory>
#include <string>
#include <utility>

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPause{15};
constexpr milliseconds kReconnectPause{50};
// One request in so many has a withdrawn key.
constexpr std::size_t kWithdrawnOneIn = 9;
// Longer than a route's timeout and a pause of the node.
constexpr milliseconds kAnswerTimeout{10000};

}  // namespace

milliseconds RunClock::Now() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start_);
}

Callers::Callers(const SoakFleet& fleet, const RunClock& clock,
                 std::size_t per_vm)
    : fleet_(fleet), clock_(clock) {
  for (std::size_t vm = 0; vm < fleet.size; ++vm) {
    const std::uint16_t port = fleet.caller_port(vm);
    for (std::size_t it = 0; it < per_vm; ++it) {
      threads_.emplace_back([this, vm, it, port] { Run(vm, it, port); });
    }
  }
}

Callers::~Callers() { Stop(); }

std::vector<RequestRecord> Callers::Records() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& it : threads_) it.join();
  threads_.clear();
}

// The request is idempotent if the record says so, unless it has a withdrawn
// key.
integration::RawRequest Callers::MakeRequest(const std::string& name,
                                             std::size_t number,
                                             RequestRecord& record) {
  if (fleet_.make_withdrawn_request && number % kWithdrawnOneIn == 0) {
    if (auto request = fleet_.make_withdrawn_request(name)) {
      record.withdrawn_key = true;
      record.idempotent = false;
      return std::move(*request);
    }
  }
  return fleet_.make_request(record.idempotent, name);
}

// The connection stays open also after "Connection: close": it is the node that
// closes it.
void Callers::Run(std::size_t vm, std::size_t caller, std::uint16_t port) {
  std::unique_ptr<integration::RawConnection> connection;
  for (std::size_t n = 0; !stopping_; ++n) {
    if (!connection) {
      connection = std::make_unique<integration::RawConnection>(port);
    }
    RequestRecord record;
    record.vm = vm;
    record.idempotent = (caller + n) % 2 == 0;
    const auto request =
        MakeRequest(std::to_string(vm) + "." + std::to_string(caller) + "." +
                        std::to_string(n),
                    n, record);
    record.target = request.target;
    record.started_at = clock_.Now();
    record.sent = connection->IsOpen() && connection->Send(request.Serialize());
    record.sent_at = clock_.Now();
    integration::RawResponse response;
    if (record.sent) response = connection->ReadResponse(kAnswerTimeout);
    record.ended_at = clock_.Now();
    record.status = response.status;
    record.complete = response.complete;
    const ResponseFacts facts = fleet_.judge(response, request);
    record.not_run = facts.not_run;
    record.right_body = facts.right_body;
    const bool reusable = response.complete && !response.closed;
    if (!reusable) connection.reset();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(reusable ? kPause : kReconnectPause);
  }
}

}  // namespace dogwoodrail::soak
