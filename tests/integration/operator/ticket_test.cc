#include <sys/wait.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "objectapi/http_exchange.h"
#include "tests/integration/common/process.h"

namespace dogwoodrail::integration {
namespace {

constexpr std::chrono::seconds kCommandTimeout{30};
constexpr std::chrono::seconds kStartTimeout{10};

constexpr const char* kFirstTicket = R"({
  "accounts": [{"name": "almaty", "rate_per_s": 10, "burst": 20,
                "state": "active"}]})";
constexpr const char* kSecondTicket = R"({
  "accounts": [{"name": "almaty", "rate_per_s": 11, "burst": 20,
                "state": "active"}]})";

// Exit code and output of one run of the program.
struct CommandResult {
  int exit_code = -1;
  std::string output;
};

// Runs the command line program against an Object API stand-in.
class OperatorTool {
 public:
  explicit OperatorTool(const std::string& name)
      : directory_(MakeTestDirectory("operator_" + name)),
        port_(FreePort()),
        control_(FreePort()) {
    object_api_ = std::make_unique<Process>(
        "standin_objectapi",
        std::vector<std::string>{"--port=" + std::to_string(port_),
                                 "--control=" + std::to_string(control_)},
        directory_ + "/objects.log");
    BOOST_REQUIRE(WaitUntil(kStartTimeout, [this] {
      return SendControlRequest("GET", "/counts", "").has_value();
    }));
  }

  // Changes the active faults of the Object API.
  void SetFaults(const std::string& json) {
    BOOST_REQUIRE(SendControlRequest("POST", "/fault", json).has_value());
  }

  std::string WriteFile(const std::string& text) {
    std::string path = directory_ + "/" + std::to_string(++files_) + ".json";
    std::ofstream(path) << text;
    return path;
  }

  // Starts the program with its output redirected to `log`.
  std::unique_ptr<Process> Start(std::vector<std::string> args,
                                 const std::string& log) {
    args.push_back("--platform=127.0.0.1:" + std::to_string(port_));
    return std::make_unique<Process>("dogwoodrail", std::move(args), log);
  }

  static CommandResult Wait(Process& process, const std::string& log) {
    const auto status = process.WaitExit(kCommandTimeout);
    BOOST_REQUIRE(status.has_value());
    std::ifstream in(log);
    std::ostringstream text;
    text << in.rdbuf();
    return {WIFEXITED(*status) ? WEXITSTATUS(*status) : -1, text.str()};
  }

  std::string NewLog() {
    return directory_ + "/" + std::to_string(++files_) + ".out";
  }

  CommandResult Run(std::vector<std::string> args) {
    const std::string log = NewLog();
    const auto process = Start(std::move(args), log);
    return Wait(*process, log);
  }

  CommandResult Apply(const std::string& text) {
    return Run({"ticket", "apply", WriteFile(text), "--author=test"});
  }

 private:
  core::base::Result<objectapi::HttpResponse> SendControlRequest(
      const std::string& method, const std::string& path,
      const std::string& body) {
    objectapi::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    return objectapi::ExchangeOnce("127.0.0.1", control_, request,
                                   kStartTimeout);
  }

  std::string directory_;
  std::uint16_t port_;
  std::uint16_t control_;
  int files_ = 0;
  std::unique_ptr<Process> object_api_;
};

bool Contains(const CommandResult& result, const std::string& text) {
  return result.output.find(text) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(tickets_are_applied_shown_and_listed) {
  OperatorTool op("apply");
  const CommandResult first = op.Apply(kFirstTicket);
  BOOST_TEST(first.exit_code == 0, first.output);
  BOOST_TEST(first.output == "ticket 1 accepted\n");
  BOOST_TEST(op.Apply(kSecondTicket).output == "ticket 2 accepted\n");
  BOOST_TEST(op.Run({"ticket", "list"}).output == "1\n2\n");
  const CommandResult shown = op.Run({"ticket", "show", "1", "--json"});
  BOOST_TEST(shown.exit_code == 0);
  BOOST_TEST(Contains(shown, "\"rate_per_s\":10"), shown.output);
  BOOST_TEST(op.Run({"ticket", "show", "3"}).exit_code == 1);
}

BOOST_AUTO_TEST_CASE(check_writes_nothing) {
  OperatorTool op("check");
  const CommandResult checked =
      op.Run({"ticket", "apply", op.WriteFile(kFirstTicket), "--check"});
  BOOST_TEST(checked.exit_code == 0, checked.output);
  BOOST_TEST(op.Run({"ticket", "list"}).output.empty());
}

struct BadInput {
  std::vector<std::string> args;
  const char* expected;
};

BOOST_AUTO_TEST_CASE(bad_input_ends_with_2) {
  OperatorTool op("bad");
  const std::string no_json = op.WriteFile("{");
  const std::string bad_rate = op.WriteFile(
      R"({"accounts": [{"name": "a", "rate_per_s": 0, "burst": 1,
                        "state": "active"}]})");
  const std::string ini = op.WriteFile("[node]\nzone = a\n");
  const BadInput cases[] = {
      {{"ticket", "apply", no_json}, "parsing json failed"},
      {{"ticket", "apply", bad_rate}, "rate_per_s is 0"},
      {{"ticket", "apply", "/nonexistent"}, "cannot be read"},
      {{"ticket", "show", "x"}, "is no ticket number"},
      {{"ticket", "drop"}, "Exit codes"},
      {{}, "Exit codes"},
      {{"key", "create"}, "--account"},
      {{"status"}, "--nodes"},
      {{"timeline", "--nodes=127.0.0.1:1", "--event=x"}, "--event"},
      {{"status", "--nodes=host:1"}, "is not IP:port"},
      {{"node"}, "--settings"},
      {{"node", "--settings=" + ini}, "[node] caller: missing"},
      {{"settings", "--nosuchflag=1"}, "nosuchflag"},
  };
  for (const BadInput& it : cases) {
    const CommandResult result = op.Run(it.args);
    BOOST_TEST_CONTEXT(it.expected << ": " << result.output) {
      BOOST_TEST(result.exit_code == 2);
      BOOST_TEST(Contains(result, it.expected));
    }
  }
  BOOST_TEST(op.Run({"ticket", "list"}).output.empty());
}

BOOST_AUTO_TEST_CASE(outcome_is_found_after_a_lost_response) {
  OperatorTool op("lost");
  op.SetFaults(R"({"lose_answer_after_write": 1})");
  const CommandResult result = op.Apply(kFirstTicket);
  BOOST_TEST(result.exit_code == 0, result.output);
  BOOST_TEST(op.Run({"ticket", "list"}).output == "1\n");
}

BOOST_AUTO_TEST_CASE(unreachable_platform_is_reported) {
  OperatorTool op("absent");
  op.SetFaults(R"({"away": "refuse"})");
  const CommandResult result = op.Apply(kFirstTicket);
  BOOST_TEST(result.exit_code == 1, result.output);
  op.SetFaults(R"({"away": "off"})");
  BOOST_TEST(op.Run({"ticket", "list"}).output.empty());
}

BOOST_AUTO_TEST_CASE(concurrent_operators_each_get_their_outcome) {
  constexpr int kOperators = 6;
  OperatorTool op("race");
  op.SetFaults(R"({"delay_ms": 100})");
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::string> logs;
  for (int it = 0; it < kOperators; ++it) {
    logs.push_back(op.NewLog());
    processes.push_back(
        op.Start({"ticket", "apply", op.WriteFile(kFirstTicket)}, logs.back()));
  }
  int accepted = 0;
  for (int it = 0; it < kOperators; ++it) {
    const CommandResult result = OperatorTool::Wait(*processes[it], logs[it]);
    BOOST_TEST((result.exit_code == 0 || result.exit_code == 4), result.output);
    if (result.exit_code == 0) ++accepted;
  }
  BOOST_TEST(accepted >= 1);
  std::istringstream list(op.Run({"ticket", "list"}).output);
  int listed = 0;
  for (std::string line; std::getline(list, line);) ++listed;
  BOOST_TEST(listed == accepted);
}

BOOST_AUTO_TEST_CASE(key_is_shown_once_with_its_hash) {
  OperatorTool op("key");
  const CommandResult result =
      op.Run({"key", "create", "--account=almaty", "--json"});
  BOOST_TEST(result.exit_code == 0);
  BOOST_TEST(Contains(result, "\"key\":\"dwr_"), result.output);
  BOOST_TEST(Contains(result, "\"sha256\":\""));
  BOOST_TEST(op.Run({"key", "create", "--account=almaty", "--json"}).output !=
             result.output);
}

BOOST_AUTO_TEST_CASE(unreachable_nodes_are_named) {
  OperatorTool op("nodes");
  const std::string address = "127.0.0.1:" + std::to_string(FreePort());
  for (const char* command : {"status", "timeline"}) {
    const CommandResult result = op.Run({command, "--nodes=" + address});
    BOOST_TEST(result.exit_code == 1);
    BOOST_TEST(Contains(result, address), result.output);
  }
}

}  // namespace
}  // namespace dogwoodrail::integration
