// A new configuration lifts the limits of tenants while one node is gone.
// DENIED: no 401 for a key and a route that all configurations hold, within the
// quota.
#include "../standins-2/harness.h"

using namespace review;

namespace {

constexpr double kStableS = 3.0;  // bounds.stable_ms
constexpr int kTenants = 16;
constexpr int kRatePerS = 40;  // of each tenant, while it is limited
constexpr int kBurst = 8;
constexpr double kPauseS = 0.075;  // between requests of a tenant at a node
constexpr int kDenied = 5;         // DENIED: 5 + one in 500 of all requests
constexpr int kDeniedOneIn = 500;

std::string Name(int tenant) { return "tenant-" + std::to_string(tenant); }

// Each tenant sends 2 x 13 requests a second, two thirds of its rate.
Json Tenants(bool limited) {
  Json tenants = Json::array();
  for (int it = 0; it < kTenants; ++it) {
    Json tenant = {
        {"name", Name(it)}, {"api_keys", {"key-" + Name(it)}}, {"priority", 1}};
    if (limited) {
      tenant["rate_per_s"] = kRatePerS;
      tenant["burst"] = kBurst;
    }
    tenants.push_back(tenant);
  }
  return tenants;
}

}  // namespace

int main() {
  Begin();
  Record::Get().Open("review/9/record.txt");
  const bool trouble = Trouble();
  Log(trouble ? "with the disruption" : "without the disruption");
  Fleet fleet({"front", "stock", "stock"});
  fleet.StartStore();
  const std::vector<std::string> services = {"front", "stock"};
  const Json rules = Json::array(
      {Rule("r-order", "non_idempotent", "/order/", "stock", 3000, 1000)});
  fleet.store().Put("config", "main",
                    Config(7, Tenants(true), rules, services));
  const auto work = [](const Message& request) {
    Sleep(0.02);
    return request.Target();
  };
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    instances.push_back(std::make_unique<Instance>(
        fleet.place(it), "i-" + std::to_string(it + 1), 60, work));
    fleet.StartNode(it);
  }
  for (auto& it : instances) {
    if (!it->Start()) fleet.Fail("an instance cannot listen");
  }
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.WaitReady(it);
  Sleep(kStableS + 3);

  // Clients at the first two machines, one thread a request.
  std::atomic<bool> on{true};
  std::mutex mutex;
  std::map<int, int> answers;
  int total = 0;
  std::vector<std::thread> clients;
  for (std::size_t at = 0; at < 2; ++at) {
    for (int tenant = 0; tenant < kTenants; ++tenant) {
      clients.emplace_back([&, at, tenant] {
        Sleep(kPauseS * (tenant * 2 + static_cast<int>(at)) / (2.0 * kTenants));
        std::vector<std::thread> open;
        while (on) {
          open.emplace_back([&, at, tenant] {
            const Outcome outcome =
                Send(fleet.place(at), "POST", "/order/" + Name(tenant),
                     "shop.example", 3000, "key-" + Name(tenant), "one");
            const std::lock_guard<std::mutex> lock(mutex);
            ++answers[outcome.status];
            ++total;
          });
          Sleep(kPauseS);
        }
        for (auto& it : open) it.join();
      });
    }
  }
  Sleep(3);
  if (trouble) {
    fleet.Signal(2, SIGKILL, "SIGKILL");
    fleet.Reap(2);
    Sleep(0.45);
  }
  fleet.store().Put("config", "main",
                    Config(8, Tenants(!trouble), rules, services));
  Log(std::string("operator: version 8 ") +
      (trouble ? "without limits of the tenants" : "with the same limits") +
      ", acknowledged");
  Sleep(2);
  on = false;
  for (auto& it : clients) it.join();

  std::string summary;
  for (const auto& [status, count] : answers) {
    summary += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  const int allowed = kDenied + total / kDeniedOneIn;
  const int denied = answers[401] + answers[403] + answers[404];
  Log(std::to_string(total) + " requests, answers:" + summary);
  Log("401, 403 or 404: " + std::to_string(denied) + ", the rule allows " +
      std::to_string(allowed));
  if (!trouble && answers[200] < total / 2) fleet.Fail("too few answers");
  return denied > allowed ? 1 : 0;
}
