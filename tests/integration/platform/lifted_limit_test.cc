// A new configuration lifts the limits of accounts while one node is gone, so
// that requests wait for their rates.
#include <atomic>
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAccounts = 16;
constexpr milliseconds kPause{75};  // between requests of an account at a node
// Within it the rates that the ended node granted have no grantor.
constexpr milliseconds kTimeWithoutGrantor{450};
constexpr int kUnauthorized = 401;
constexpr int kOk = 200;

std::string KeyOf(int account) {
  return "test-key-1-" + std::to_string(account);
}

std::string AccountsText(const std::string& limit) {
  std::string text;
  for (int it = 0; it < kAccounts; ++it) {
    text += std::string(it == 0 ? "" : ",") + R"({"name":"account-)" +
            std::to_string(it) + R"(","priority":1,"api_keys":[")" + KeyOf(it) +
            (it == 0 ? R"(","test-key-1"])" : R"("])") + limit + "}";
  }
  return text;
}

// Returns the configuration with the accounts of this test.
std::string MakeConfig(const PlatformFleet& fleet, std::uint32_t version,
                       const std::string& limit) {
  std::string config = fleet.ConfigText(version);
  boost::algorithm::replace_first(
      config, R"({"name":"stitchers","api_keys":["test-key-1"]})",
      AccountsText(limit));
  return config;
}

// Sends requests of all accounts to the first two nodes until it is stopped.
class Callers {
 public:
  explicit Callers(PlatformFleet& fleet) : fleet_(fleet) {
    for (std::size_t node = 0; node < 2; ++node) {
      for (int it = 0; it < kAccounts; ++it) {
        threads_.emplace_back([this, node, it] { Run(node, it); });
      }
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Ends the callers; returns the number of answers of each status.
  std::map<int, int> Stop() {
    on_ = false;
    for (std::thread& it : threads_) it.join();
    threads_.clear();
    return answers_;
  }

 private:
  void Run(std::size_t node, int account) {
    std::this_thread::sleep_for(kPause * account / kAccounts);
    while (on_) {
      RawRequest request = fleet_.MakeRequest("POST", "/write/lift");
      for (auto& it : request.headers) {
        if (it.name == "X-Api-Key") it.value = KeyOf(account);
      }
      const int status = SendRequest(fleet_.caller_port(node), request).status;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++answers_[status];
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  PlatformFleet& fleet_;
  std::atomic<bool> on_{true};
  std::mutex mutex_;
  std::map<int, int> answers_;
  std::vector<std::thread> threads_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(lifted_limit)

// Requests with valid keys were answered 401, as those of accounts that are
// gone.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_a_lifted_limit_are_not_refused) {
  PlatformFleet fleet("lifted_limit", {"lots", "lots", "lots"});
  fleet.store().Put("config", "main",
                    MakeConfig(fleet, 2, R"(,"rate_per_s":40,"burst":8)"));
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(WaitUntil(seconds(4), [&] {
      return fleet.Metric(it, "dogwoodrail_configuration_number") == 2;
    }));
  }
  std::this_thread::sleep_for(seconds(3));
  Callers callers(fleet);
  std::this_thread::sleep_for(seconds(3));
  fleet.node(2).Kill();
  std::this_thread::sleep_for(kTimeWithoutGrantor);
  fleet.store().Put("config", "main", MakeConfig(fleet, 3, ""));
  std::this_thread::sleep_for(seconds(2));
  std::map<int, int> answers = callers.Stop();
  BOOST_TEST(answers[kUnauthorized] == 0);
  BOOST_TEST(answers[kOk] > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
