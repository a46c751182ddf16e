// Instances that write a refusal once more, stop in the middle of the head of
// their answer, or answer with a status that is none of HTTP.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kServiceTime{40};
constexpr int kRequests = 12;
// Far below the deadline of the requests, and enough for a busy machine.
constexpr milliseconds kAtOnce{1500};

// When and how a refusal is written once more.
struct Repetition {
  std::string name;
  milliseconds after{0};   // after the refusal itself
  int times = 1;           // then
  int before_answers = 0;  // before the next answer on the connection
  std::string id = "own";  // own, none, other
};

std::vector<Repetition> Repetitions() {
  return {{"at once", milliseconds(0), 1, 0, "own"},
          {"several times at once", milliseconds(0), 5, 0, "own"},
          {"late", milliseconds(25), 1, 0, "own"},
          {"when the next answer is due", milliseconds(0), 0, 1, "own"},
          {"several when the next is due", milliseconds(0), 0, 5, "own"},
          {"without an id, at once", milliseconds(0), 1, 0, "none"},
          {"without an id, next due", milliseconds(0), 0, 1, "none"},
          {"of another, next due", milliseconds(0), 0, 1, "other"}};
}

// Refuses each third request, and repeats the refusal.
class RepeatingScript {
 public:
  explicit RepeatingScript(Repetition repetition)
      : repetition_(std::move(repetition)) {}

  InstanceAnswer operator()(const InstanceRequest& request) {
    std::vector<InstanceStep> steps;
    if (request.target.find("full") != std::string::npos) {
      refused_ = IdOf(request);
      steps.push_back(
          {milliseconds(0), PlatformInstance::RefusalText(request.id)});
      for (int it = 0; it < repetition_.times; ++it) {
        steps.push_back(
            {repetition_.after, PlatformInstance::RefusalText(refused_)});
      }
      return {false, steps};
    }
    if (request.number > 0) {
      for (int it = 0; it < repetition_.before_answers; ++it) {
        steps.push_back(
            {milliseconds(2), PlatformInstance::RefusalText(refused_)});
      }
    }
    steps.push_back({kServiceTime, PlatformInstance::SuccessText(request)});
    return {true, steps};
  }

 private:
  std::string IdOf(const InstanceRequest& request) const {
    if (repetition_.id == "none") return "";
    return repetition_.id == "other" ? "another" : request.id;
  }

  Repetition repetition_;
  std::string refused_;
};

// Answers, whole but for their status, to requests with "odd" in the path.
InstanceScript OddStatusScript(const std::string& status) {
  return [status](const InstanceRequest& request) {
    std::string text = PlatformInstance::SuccessText(request);
    if (request.target.find("odd") != std::string::npos) {
      text.replace(text.find("200"), status.size(), status);
    }
    return InstanceAnswer{true, {{milliseconds(0), text}}};
  };
}

bool IsNotRun(int status) { return status == 503 || status == 429; }

// Parts of a head after which the instance closes the connection.
std::vector<std::string> CutHeads() {
  const std::string sealed_head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n";
  return {"HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200",
          "HTTP/1.1 200 OK\r\nRespo",
          "HTTP/1.1 200 OK\r\nContent-Length: 1",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nResponse-Seal: s\r\n",
          "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: ID\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
          sealed_head + "Transfer-Encoding: chunked\r\n\r\n"};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(faulty_answer)

// A request that an instance has run or runs is never told "not run".
BOOST_AUTO_TEST_CASE(refusal_written_once_more_answers_no_request) {
  PlatformFleet fleet("repeated_refusal", {"lots"});
  for (const Repetition& repetition : Repetitions()) {
    BOOST_TEST_CONTEXT(repetition.name) {
      fleet.instance(0).SetScript(RepeatingScript(repetition));
      int served = 0;
      for (int it = 0; it < kRequests; ++it) {
        const bool refused = it % 3 == 0;
        const std::string path =
            "/write/" + repetition.name.substr(0, 2) + std::to_string(it) +
            (refused ? "/full/" : "/") +
            std::to_string(repetition.before_answers) +
            std::to_string(repetition.times) + repetition.id;
        const RawResponse response = fleet.Send(0, "POST", path, "b");
        const std::size_t runs = fleet.CountRuns(path);
        BOOST_TEST(runs <= 1U);
        if (refused) {
          BOOST_TEST(response.status != 200);
          BOOST_TEST(runs == 0U);
          continue;
        }
        if (IsNotRun(response.status)) BOOST_TEST(runs == 0U);
        if (response.status != 200) continue;
        BOOST_TEST(response.body == path);
        ++served;
      }
      BOOST_TEST(served > 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(head_that_stops_in_the_middle_is_no_answer) {
  PlatformFleet fleet("cut_head", {"lots"});
  std::size_t number = 0;
  for (const std::string& head : CutHeads()) {
    for (const bool kept : {false, true}) {
      BOOST_TEST_CONTEXT("head " << head << " kept " << kept) {
        fleet.instance(0).SetScript([&head](const InstanceRequest& request) {
          if (request.target.find("cut") == std::string::npos) {
            return InstanceAnswer{
                true,
                {{milliseconds(0), PlatformInstance::SuccessText(request)}}};
          }
          std::string text = head;
          const std::size_t mark = text.find("ID");
          if (mark != std::string::npos) text.replace(mark, 2, request.id);
          return InstanceAnswer{true, {{milliseconds(5), text, true}}};
        });
        const std::string tail = std::to_string(number++);
        if (kept) {
          BOOST_TEST(fleet.Send(0, "GET", "/read/whole" + tail).status == 200);
        }
        const std::string write = "/write/cut" + tail;
        const RawResponse response = fleet.Send(0, "POST", write, "b");
        BOOST_TEST(response.status == 502);
        BOOST_TEST(fleet.CountRuns(write) == 1U);
        const RawResponse read = fleet.Send(0, "GET", "/read/cut" + tail);
        BOOST_TEST(read.status >= 300);
        BOOST_TEST(!IsNotRun(read.status));
      }
    }
  }
}

// The caller got the status as an answer, or nothing until its deadline.
BOOST_AUTO_TEST_CASE(answer_with_a_status_that_is_none_is_refused_at_once) {
  PlatformFleet fleet("odd_status", {"lots"});
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    BOOST_TEST_CONTEXT("status " << status) {
      fleet.instance(0).SetScript(OddStatusScript(status));
      for (int it = 0; it < kRequests; ++it) {
        const std::string tail = status + std::to_string(it);
        BOOST_TEST(fleet.Send(0, "GET", "/read/" + tail).status == 200);
        const std::string path = "/write/odd" + tail;
        const auto begin = std::chrono::steady_clock::now();
        const RawResponse response = fleet.Send(0, "POST", path, "b");
        BOOST_TEST((std::chrono::steady_clock::now() - begin < kAtOnce));
        BOOST_TEST(response.status == 502);
        BOOST_TEST(fleet.CountRuns(path) == 1U);
      }
    }
  }
}

// A request that may be repeated is sent to the other instance.
BOOST_AUTO_TEST_CASE(idempotent_request_goes_elsewhere_after_an_odd_status) {
  std::set<std::string> seen;  // by the instances, on their one thread
  PlatformFleet fleet("odd_status_repeat", {"lots", "lots"});
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript([&seen](const InstanceRequest& request) {
      const bool first = seen.insert(request.target).second;
      return OddStatusScript(first ? "000" : "200")(request);
    });
  }
  int repeated = 0;
  for (int it = 0; it < kRequests; ++it) {
    const std::string path = "/read/odd" + std::to_string(it);
    const auto begin = std::chrono::steady_clock::now();
    const int status = fleet.Send(0, "GET", path).status;
    BOOST_TEST((std::chrono::steady_clock::now() - begin < kAtOnce));
    BOOST_TEST((status == 200 || status == 502));
    const std::size_t runs = fleet.CountRuns(path);
    if (status == 200 && runs == 2) ++repeated;
  }
  BOOST_TEST(repeated > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
