#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PROCESS_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodrail::integration {

// A child process. The destructor kills it, also when a test fails.
class Process {
 public:
  // Starts a program of the build directory; appends its output to `log_file`.
  Process(const std::string& program, std::vector<std::string> args,
          const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  // Sends a signal.
  void SendSignal(int signal) const;
  // Sends SIGKILL and waits for the process to exit.
  void Kill();
  // Waits for the process to exit. Returns the wait status of waitpid, or
  // nothing if the process still runs after the timeout.
  std::optional<int> WaitExit(std::chrono::milliseconds timeout);
  // True until the process has exited.
  bool IsRunning();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Returns a free loopback port that no other call in this process returned.
std::uint16_t FreePort();

// Polls the condition until it holds; false if the timeout passes first.
bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);

// Creates a directory for the logs and settings of one test. It is not removed
// after the test.
std::string MakeTestDirectory(const std::string& name);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PROCESS_H_
