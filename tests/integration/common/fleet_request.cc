// Builders for the requests and tickets of the integration tests.
#include <chrono>

#include "node/secret_func.h"
#include "standins/common/request_func.h"
#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kRetryPercent = 20;
constexpr std::chrono::seconds kRouteTimeout{3};

}  // namespace

std::string TestKeyOf(const std::string& account) {
  return kKeyMarker + account;
}

void AddAccount(core::config::Ticket& ticket, const std::string& account,
                std::uint32_t rate_per_s, std::uint32_t burst) {
  core::config::Account entry;
  entry.name = core::base::AccountName(account);
  entry.rate_per_s = rate_per_s;
  entry.burst = burst;
  ticket.accounts.push_back(entry);
  core::config::KeyEntry key;
  key.hash = node::HashKey(TestKeyOf(account));
  key.account = entry.name;
  ticket.keys.push_back(key);
}

core::config::Route& AddRoute(core::config::Ticket& ticket,
                              const std::string& name,
                              const std::string& service,
                              core::base::Importance importance,
                              bool idempotent) {
  core::config::Route route;
  route.name = core::base::RouteName(name);
  route.path_prefix = "/" + name;
  route.service = core::base::ServiceName(service);
  route.importance = importance;
  route.idempotent = idempotent;
  route.max_attempts = kMaxAttempts;
  route.retry_percent = kRetryPercent;
  route.timeout = kRouteTimeout;
  ticket.routes.push_back(route);
  return ticket.routes.back();
}

std::string MakeIdempotencyKey() {
  thread_local core::base::Random random(node::RandomSeed());
  return standin::MakeUuid7(standin::WallNow(), random);
}

RawRequest MakeRequest(const std::string& method, const std::string& target,
                       const std::string& account, const std::string& body) {
  RawRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!account.empty()) {
    request.AddHeader("Authorization", "Bearer " + TestKeyOf(account));
  }
  if (method == "POST") {
    request.AddHeader("Idempotency-Key", MakeIdempotencyKey());
  }
  return request;
}

bool IsExpectedResponse(const RawResponse& response,
                        const RawRequest& request) {
  if (!response.complete || response.status != 200) return false;
  return response.JsonMember("digest") ==
         standin::RequestDigest(request.target, request.body);
}

}  // namespace dogwoodrail::integration
