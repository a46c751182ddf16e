// The address of an instance that is gone goes to an instance of another
// service. ROUTE: that one runs no request of the first service.
#include "../standins-2/harness.h"

using namespace review;

namespace {

constexpr double kStableS = 3.0;      // bounds.stable_ms
constexpr double kReuseDelayS = 2.0;  // bounds.reuse_delay_s
constexpr int kClients = 6;
constexpr int kRequests = 300;
constexpr double kPauseS = 0.1;

}  // namespace

int main() {
  Begin();
  Record::Get().Open("review/6/record.txt");
  const bool trouble = Trouble();
  Log(trouble ? "the address goes to another service"
              : "the address goes to the same service again");
  Fleet fleet({"front", "stock", "stock", "stock"});
  fleet.StartStore();
  const std::vector<std::string> services = {"front", "stock", "billing"};
  const Json tenants = Json::array({{{"name", "acme"},
                                     {"api_keys", {"key-acme"}},
                                     {"priority", 1},
                                     {"rate_per_s", 100},
                                     {"burst", 100}}});
  // No configuration sends /stock/ to any other service than stock.
  const Json rules = Json::array(
      {Rule("r-stock", "non_idempotent", "/stock/", "stock", 3000, 1000),
       Rule("r-bill", "non_idempotent", "/bill/", "billing", 3000, 1000)});
  fleet.store().Put("config", "main", Config(7, tenants, rules, services));
  const auto work = [](const Message& request) {
    Sleep(0.02);
    return request.Target();
  };
  std::mutex mutex;
  std::vector<std::string> misrouted;
  const auto billing_work = [&](const Message& request) {
    if (request.Target().rfind("/bill/", 0) != 0) {
      const std::lock_guard<std::mutex> lock(mutex);
      misrouted.push_back(request.Header("Attempt-Id"));
      Log("ROUTE: an instance of billing runs " + request.first);
    }
    return request.Target();
  };
  Instance front(fleet.place(0), "i-front", 20, work);
  Instance first(fleet.place(1), "i-first", 20, work);
  Instance second(fleet.place(2), "i-second", 20, work);
  Instance third(fleet.place(3), "i-third", 20, work);
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.StartNode(it);
  if (!front.Start() || !first.Start() || !second.Start() || !third.Start()) {
    fleet.Fail("an instance cannot listen");
  }
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.WaitReady(it);
  Sleep(kStableS + 2);

  Log("i-first of stock crashes for good");
  first.Exit();
  Sleep(kReuseDelayS + 0.5);
  Place reused = fleet.place(1);
  reused.service = trouble ? "billing" : "stock";
  std::unique_ptr<Instance> next;
  if (trouble) {
    // The settings of the machine name its new instance from now on.
    fleet.WriteSettings(1, "billing");
    fleet.Signal(1, SIGHUP, "SIGHUP");
    next = std::make_unique<Instance>(reused, "i-next", 20, billing_work);
  } else {
    next = std::make_unique<Instance>(reused, "i-next", 20, work);
  }
  if (!next->Start()) fleet.Fail("the next instance cannot listen");
  Log("i-next of " + reused.service + " starts at the address of i-first");
  Sleep(1);

  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int it = 0; it < kRequests / kClients; ++it) {
        const Outcome outcome =
            Send(fleet.place(0), "POST",
                 "/stock/" + std::to_string(client) + "/" + std::to_string(it),
                 "shop.example", 3000, "key-acme", "one");
        answered += outcome.status == 200 ? 1 : 0;
        Sleep(kPauseS);
      }
    });
  }
  for (auto& it : clients) it.join();
  const std::lock_guard<std::mutex> lock(mutex);
  Log(std::to_string(kRequests) + " requests to /stock/, " +
      std::to_string(answered) + " answered 200; " +
      std::to_string(misrouted.size()) + " of them ran at billing");
  if (answered == 0) fleet.Fail("no request was answered");
  return misrouted.empty() ? 0 : 1;
}
