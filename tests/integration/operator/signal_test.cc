// Signals to a node that has requests in progress.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "tests/integration/common/path_fixture.h"
#include "tests/integration/common/traffic.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServiceTimeMs = 1500;
constexpr seconds kStartTimeout{5};
constexpr milliseconds kIdleTimeout{300};
constexpr milliseconds kSignalTimeout{500};
// From the line of the end to the exit of the process. ThreadSanitizer waits
// 1 s there.
constexpr milliseconds kExitTimeout{3000};
constexpr seconds kOldIdleTimeout{2};
constexpr seconds kPollTime{4};
constexpr milliseconds kWritePause{150};
// Within this time a changed file is in force.
constexpr seconds kReloadTimeout{12};
constexpr milliseconds kAnswerTimeout{5000};
// Two pending signals of the same number are merged.
constexpr milliseconds kBetweenSignals{50};
constexpr seconds kStopTimeout{10};
// The stop itself takes about 1 s without work, and ThreadSanitizer 1 s at the
// exit.
constexpr seconds kHostedStopTimeout{5};
constexpr std::size_t kPageBytes = 4096;

// One VM whose backend server needs kServiceTimeMs for a request.
FleetSpec SlowFleet(const std::string& name) {
  FleetSpec spec;
  spec.name = name;
  spec.ticket = PathTicket();
  spec.vms = {PathVm("lots", "a")};
  spec.vms.front().service_time_ms = kServiceTimeMs;
  return spec;
}

// A request that the backend server runs.
class OpenRequest {
 public:
  explicit OpenRequest(const Fleet& fleet)
      : connection_(fleet.vm(0).caller_port()),
        request_(MakeRequest("GET", "/lots/1", "traders")) {
    const std::size_t before = fleet.CountExecutionsAt(0);
    connection_.Send(request_.Serialize());
    BOOST_REQUIRE(WaitUntil(kStartTimeout, [&fleet, before] {
      return fleet.CountExecutionsAt(0) > before;
    }));
  }

  // Checks that the request gets its response.
  void CheckAnswered() {
    const RawResponse response = connection_.ReadResponse(kAnswerTimeout);
    BOOST_TEST(IsExpectedResponse(response, request_),
               "status " << response.status << " closed " << response.closed);
  }

 private:
  RawConnection connection_;
  RawRequest request_;
};

// The reading end of a pipe that takes the place of a log file.
class LogReader {
 public:
  explicit LogReader(std::string path) : path_(std::move(path)) {
    std::filesystem::remove(path_);
    BOOST_REQUIRE(::mkfifo(path_.c_str(), 0600) == 0);
    fd_ = ::open(path_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    BOOST_REQUIRE(fd_ >= 0);
  }
  ~LogReader() { Close(); }
  LogReader(const LogReader&) = delete;
  LogReader& operator=(const LogReader&) = delete;

  // Fills the pipe; the node's next line is not written until somebody reads.
  void Fill() const {
    const int fd = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    BOOST_REQUIRE(fd >= 0);
    for (const std::size_t size : {kPageBytes, std::size_t{1}}) {
      const std::string text(size, '\n');
      while (::write(fd, text.data(), size) > 0) continue;
    }
    ::close(fd);
  }

  // Closes and removes the pipe; the node's next line cannot be written.
  void Close() {
    if (fd_ < 0) return;
    ::close(std::exchange(fd_, -1));
    std::filesystem::remove(path_);
  }

 private:
  std::string path_;
  int fd_ = -1;
};

// Restarts the node of VM 0, whose log is a pipe then.
void RestartWithReader(Fleet& fleet, std::optional<LogReader>& reader) {
  Vm& vm = fleet.vm(0);
  vm.node().SendSignal(SIGTERM);
  BOOST_REQUIRE(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
  reader.emplace(vm.node_log());
  fleet.RestartNode(0);
  BOOST_REQUIRE(WaitUntil(kStopTimeout, [&vm] {
    RawRequest ready;
    ready.target = "/ready";
    return SendRequest(vm.operator_port(), ready).status == 200;
  }));
  BOOST_REQUIRE(fleet.WaitEndpoints(1, kStopTimeout));
}

// Starts a node that is hosted by the platform, whose store is unavailable.
std::unique_ptr<Process> StartHosted(const std::string& directory,
                                     const std::string& output,
                                     const std::string& log_file = "") {
  const std::string path = directory + "/hosted.ini";
  const auto address = [] { return "127.0.0.1:" + std::to_string(FreePort()); };
  const std::uint16_t caller = FreePort();
  std::ofstream(path) << "[node]\ncaller = 127.0.0.1:" << caller
                      << "\npeer = " << address()
                      << "\noperator = " << address()
                      << "\nzone = a\n[host]\nadapter = platform\nname = n\n"
                      << "service = lots\nbackend = " << address()
                      << "\nready = " << address()
                      << "\ncontrol = " << address()
                      << "\n[platform]\naddress = " << address()
                      << "\n[features]\nshards = false\n[log]\nfile = "
                      << log_file << "\n";
  auto node = std::make_unique<Process>(
      "dogwoodrail", std::vector<std::string>{"node", "--settings", path},
      output);
  BOOST_REQUIRE(WaitUntil(kStartTimeout,
                          [caller] { return RawConnection(caller).IsOpen(); }));
  return node;
}

// Returns the set of signals that a thread blocks, a bit each, from its status
// file in /proc.
std::uint64_t ReadBlockedSignals(const std::filesystem::path& status) {
  constexpr std::string_view kField = "SigBlk:";
  std::ifstream in(status);
  for (std::string it; std::getline(in, it);) {
    if (it.rfind(kField, 0) != 0) continue;
    return std::stoull(it.substr(kField.size()), nullptr, 16);
  }
  BOOST_FAIL("no " << kField << " in " << status);
  return 0;
}

// Returns the number of lines of the file that contain the text.
std::size_t CountLines(const std::string& file, const std::string& text) {
  std::ifstream in(file);
  std::size_t count = 0;
  for (std::string it; std::getline(in, it);) {
    if (it.find(text) != std::string::npos) ++count;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(signals)

BOOST_AUTO_TEST_CASE(settings_signal_ends_no_request) {
  Fleet fleet(SlowFleet("settings_signal"));
  Vm& vm = fleet.vm(0);
  OpenRequest request(fleet);
  vm.node().SendSignal(SIGHUP);
  request.CheckAnswered();
  BOOST_TEST(vm.node().IsRunning());
  vm.node().SendSignal(SIGTERM);
  BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
  BOOST_TEST(CountLines(vm.node_log(), "signal_received signal=SIGHUP") == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_stop_signal_ends_no_request) {
  Fleet fleet(SlowFleet("repeated_stop_signal"));
  Vm& vm = fleet.vm(0);
  OpenRequest request(fleet);
  for (const int it : {SIGTERM, SIGTERM, SIGINT, SIGHUP}) {
    vm.node().SendSignal(it);
    std::this_thread::sleep_for(kBetweenSignals);
  }
  request.CheckAnswered();
  BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
  BOOST_TEST(CountLines(vm.node_log(),
                        "signal_received signal=SIGTERM effect=stop") == 1U);
  BOOST_TEST(CountLines(vm.node_log(), "effect=none") == 3U);
  BOOST_TEST(CountLines(vm.node_log(), "node_stopping") == 1U);
}

std::string SettingsPath(const Fleet& fleet) {
  return fleet.directory() + "/node-0.ini";
}

std::string ReadSettings(const Fleet& fleet) {
  std::stringstream text;
  text << std::ifstream(SettingsPath(fleet)).rdbuf();
  return text.str();
}

// Writes the settings file of VM 0 beside it and renames it, with a text in
// place of another.
void ReplaceInSettings(const Fleet& fleet, const std::string& from,
                       const std::string& to) {
  const std::string path = SettingsPath(fleet);
  std::string settings = ReadSettings(fleet);
  const auto at = settings.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  settings.replace(at, from.size(), to);
  std::ofstream(path + ".new") << settings;
  std::filesystem::rename(path + ".new", path);
}

struct NamedSignal {
  int number;
  std::string name;
};

// Signals that end a process by default and have no meaning for a node.
std::vector<NamedSignal> ReportedSignals() {
  return {{SIGUSR1, "SIGUSR1"},
          {SIGUSR2, "SIGUSR2"},
          {SIGALRM, "SIGALRM"},
          {SIGVTALRM, "SIGVTALRM"},
          {SIGPROF, "SIGPROF"},
          {SIGIO, "SIGIO"},
          {SIGSTKFLT, "SIGSTKFLT"},
          {SIGRTMIN, "SIGRTMIN+0"},
          {SIGRTMAX, "SIGRTMIN+" + std::to_string(SIGRTMAX - SIGRTMIN)}};
}

// Writes more lines to the settings file of VM 0 and replaces the file.
void ExtendSettings(const Fleet& fleet, const std::string& lines) {
  const std::string path = fleet.directory() + "/node-0.ini";
  std::filesystem::copy_file(path, path + ".new");
  std::ofstream(path + ".new", std::ios::app) << lines;
  std::filesystem::rename(path + ".new", path);
}

// True if the node closes a new connection that stays idle.
bool ClosesIdle(const Vm& vm) {
  return RawConnection(vm.caller_port()).WaitClosed(kIdleTimeout * 3);
}

// Callers may reuse connections by the old limit until it has passed, if any
// is open at the reload.
BOOST_AUTO_TEST_CASE(settings_signal_applies_a_caller_timeout) {
  FleetSpec spec = SlowFleet("settings_signal_applies");
  spec.vms.front().settings = "[caller]\nidle_timeout = 2s\n";
  Fleet fleet(std::move(spec));
  Vm& vm = fleet.vm(0);
  BOOST_TEST(!ClosesIdle(vm));
  const RawConnection open(vm.caller_port());
  ReplaceInSettings(fleet, "idle_timeout = 2s", "idle_timeout = 300ms");
  vm.node().SendSignal(SIGHUP);
  BOOST_REQUIRE(WaitUntil(kReloadTimeout, [&vm] {
    return CountLines(vm.node_log(),
                      "settings_reloaded applied=1:caller.idle_timeout") == 1;
  }));
  BOOST_TEST(!ClosesIdle(vm));
  std::this_thread::sleep_for(kOldIdleTimeout);
  BOOST_TEST(ClosesIdle(vm));
}

BOOST_AUTO_TEST_CASE(changed_settings_file_is_applied_without_a_signal) {
  Fleet fleet(SlowFleet("settings_poll_applies"));
  Vm& vm = fleet.vm(0);
  BOOST_TEST(!ClosesIdle(vm));
  ExtendSettings(fleet, "[caller]\nidle_timeout = 300ms\n");
  std::this_thread::sleep_for(kPollTime);
  BOOST_TEST(ClosesIdle(vm));
}

// Without its last section the file is valid and has the defaults.
BOOST_AUTO_TEST_CASE(settings_file_that_is_being_written_is_not_applied) {
  FleetSpec spec = SlowFleet("settings_being_written");
  const std::string section = "[caller]\nidle_timeout = 2s\n";
  spec.vms.front().settings = section;
  Fleet fleet(std::move(spec));
  Vm& vm = fleet.vm(0);
  std::string text = ReadSettings(fleet);
  BOOST_REQUIRE(text.size() > section.size());
  text.resize(text.size() - section.size());
  std::ofstream file(SettingsPath(fleet));
  file << text << std::flush;
  vm.node().SendSignal(SIGHUP);
  std::this_thread::sleep_for(kWritePause);
  file << section << std::flush;
  BOOST_TEST(WaitUntil(kReloadTimeout, [&vm] {
    return CountLines(vm.node_log(), "settings_unchanged") == 1;
  }));
  std::this_thread::sleep_for(kPollTime);
  BOOST_TEST(CountLines(vm.node_log(), "settings_reloaded") == 0U);
}

BOOST_AUTO_TEST_CASE(invalid_settings_file_is_refused_whole) {
  Fleet fleet(SlowFleet("settings_refused"));
  Vm& vm = fleet.vm(0);
  ExtendSettings(fleet, "[caller]\nidle_timeout = 300ms\nno_setting = 1\n");
  vm.node().SendSignal(SIGHUP);
  std::this_thread::sleep_for(kPollTime);
  BOOST_TEST(!ClosesIdle(vm));
  vm.node().SendSignal(SIGTERM);
  BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
  BOOST_TEST(CountLines(vm.node_log(), "settings_refused problems=1") == 1U);
}

// Returns the number of loads of the settings file with the outcome.
std::string CountLoads(const Vm& vm, const std::string& outcome) {
  RawRequest metrics;
  metrics.target = "/metrics";
  const std::string text = SendRequest(vm.operator_port(), metrics).body;
  const std::string row =
      "\ndogwoodrail_settings_loads_total{outcome=\"" + outcome + "\"} ";
  const auto at = text.find(row);
  if (at == std::string::npos) return "";
  const auto begin = at + row.size();
  return text.substr(begin, text.find('\n', begin) - begin);
}

BOOST_AUTO_TEST_CASE(loads_of_the_settings_file_are_counted) {
  FleetSpec spec = SlowFleet("settings_counted");
  spec.vms.front().settings = "[caller]\nidle_timeout = 2s\n";
  Fleet fleet(std::move(spec));
  const Vm& vm = fleet.vm(0);
  const auto load = [&](const std::string& from, const std::string& to,
                        const std::string& outcome) {
    ReplaceInSettings(fleet, from, to);
    BOOST_TEST(CountLoads(vm, outcome) == "0");
    BOOST_TEST(WaitUntil(kReloadTimeout,
                         [&] { return CountLoads(vm, outcome) == "1"; }),
               outcome);
  };
  BOOST_REQUIRE(WaitUntil(kReloadTimeout, [&vm] {
    return CountLoads(vm, "unchanged") == "1";  // the file of the start
  }));
  load("timeout = 2s", "timeout = 3s", "applied");
  load("zone = a", "zone = b", "needs_restart");
  load("timeout = 3s", "timeout = 3", "refused");
}

BOOST_AUTO_TEST_CASE(closed_log_reader_ends_no_request) {
  Fleet fleet(SlowFleet("closed_log_reader"));
  Vm& vm = fleet.vm(0);
  std::optional<LogReader> reader;
  RestartWithReader(fleet, reader);
  OpenRequest request(fleet);
  reader->Close();
  vm.node().SendSignal(SIGHUP);  // causes a line
  request.CheckAnswered();
  vm.node().SendSignal(SIGTERM);
  BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(full_log_pipe_does_not_hold_the_process) {
  Fleet fleet(SlowFleet("full_log_pipe"));
  Vm& vm = fleet.vm(0);
  std::optional<LogReader> reader;
  RestartWithReader(fleet, reader);
  OpenRequest request(fleet);
  reader->Fill();
  vm.node().SendSignal(SIGTERM);
  request.CheckAnswered();
  BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(full_log_pipe_does_not_hold_a_hosted_process) {
  const std::string directory = MakeTestDirectory("full_log_pipe_hosted");
  LogReader reader(directory + "/node.log");
  const auto node = StartHosted(directory, directory + "/node.log");
  reader.Fill();
  node->SendSignal(SIGTERM);
  BOOST_TEST(node->WaitExit(kHostedStopTimeout).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(lines_that_are_not_written_are_reported) {
  const std::string directory = MakeTestDirectory("log_not_written");
  const std::string output = directory + "/output";
  LogReader reader(directory + "/node.log");
  const auto node = StartHosted(directory, output, directory + "/node.log");
  reader.Fill();
  node->SendSignal(SIGTERM);
  BOOST_TEST(node->WaitExit(kHostedStopTimeout).value_or(-1) == 0);
  BOOST_TEST(CountLines(output, "lines of the log were not written") == 1U);
}

// A watch is a call to the platform that is answered when something changes.
BOOST_AUTO_TEST_CASE(watch_of_the_platform_does_not_hold_the_process) {
  FleetSpec spec = SlowFleet("watch_at_the_end");
  spec.vms.front().settings = "[platform]\nwatch_wait = 1min\n";
  Fleet fleet(std::move(spec));
  Vm& vm = fleet.vm(0);
  vm.node().SendSignal(SIGTERM);
  BOOST_REQUIRE(WaitUntil(kStopTimeout, [&vm] {
    return CountLines(vm.node_log(), "node_stopped") == 1;
  }));
  BOOST_TEST(vm.node().WaitExit(kExitTimeout).value_or(-1) == 0);
}

// A signal that the kernel gives to another thread may be lost with it.
BOOST_AUTO_TEST_CASE(only_the_first_thread_receives_signals) {
  const std::string directory = MakeTestDirectory("signal_threads");
  const auto node = StartHosted(directory, directory + "/node.log");
  BOOST_REQUIRE(WaitUntil(kStartTimeout, [&] {
    return CountLines(directory + "/node.log", "platform_lost") > 0;
  }));
  const std::string process = "/proc/" + std::to_string(node->pid());
  std::size_t others = 0;
  for (const auto& it :
       std::filesystem::directory_iterator(process + "/task")) {
    const bool is_first = it.path().filename() == std::to_string(node->pid());
    if (!is_first) ++others;
    const std::uint64_t blocked = ReadBlockedSignals(it.path() / "status");
    for (const int number : {SIGTERM, SIGHUP, SIGVTALRM, SIGRTMIN}) {
      const bool is_blocked = ((blocked >> (number - 1U)) & 1U) != 0;
      BOOST_TEST(is_blocked == !is_first,
                 "thread " << it.path().filename() << " signal " << number);
    }
  }
  BOOST_TEST(others > 1U);
}

BOOST_AUTO_TEST_CASE(signals_without_a_meaning_do_not_end_the_process) {
  for (const auto& it : ReportedSignals()) {
    const std::string directory = MakeTestDirectory("signal_" + it.name);
    const std::string log = directory + "/node.log";
    const auto node = StartHosted(directory, log);
    node->SendSignal(it.number);
    BOOST_TEST(WaitUntil(kSignalTimeout,
                         [&log, &it] {
                           return CountLines(
                                      log, "signal_received signal=" + it.name +
                                               " effect=none") == 1;
                         }),
               it.name);
    BOOST_TEST(node->IsRunning(), it.name);
  }
}

BOOST_AUTO_TEST_CASE(file_size_signal_does_not_end_the_process) {
  const std::string directory = MakeTestDirectory("signal_SIGXFSZ");
  const auto node = StartHosted(directory, directory + "/node.log");
  node->SendSignal(SIGXFSZ);
  BOOST_TEST(!node->WaitExit(kSignalTimeout).has_value());
}

BOOST_AUTO_TEST_CASE(signals_without_a_meaning_end_no_request) {
  Fleet fleet(SlowFleet("signals_without_a_meaning"));
  Vm& vm = fleet.vm(0);
  OpenRequest request(fleet);
  for (const auto& it : ReportedSignals()) vm.node().SendSignal(it.number);
  vm.node().SendSignal(SIGXFSZ);
  request.CheckAnswered();
  BOOST_TEST(vm.node().IsRunning());
}

BOOST_AUTO_TEST_CASE(other_stop_signals_end_no_request) {
  for (const NamedSignal& it :
       {NamedSignal{SIGQUIT, "SIGQUIT"}, NamedSignal{SIGXCPU, "SIGXCPU"},
        NamedSignal{SIGPWR, "SIGPWR"}}) {
    Fleet fleet(SlowFleet("stop_signal_" + it.name));
    Vm& vm = fleet.vm(0);
    OpenRequest request(fleet);
    vm.node().SendSignal(it.number);
    request.CheckAnswered();
    BOOST_TEST(vm.node().WaitExit(kStopTimeout).value_or(-1) == 0, it.name);
    BOOST_TEST(CountLines(vm.node_log(), "signal_received signal=" + it.name +
                                             " effect=stop") == 1U);
    BOOST_TEST(CountLines(vm.node_log(), "node_stopping") == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
