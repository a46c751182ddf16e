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

// A child process that ends with its owner, also when a test fails.
class Process {
 public:
  // Starts a program of the build directory; its output goes to `log_file`.
  Process(const std::string& program, std::vector<std::string> args,
          const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends a signal.
  void SendSignal(int signal) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Waits for the end; returns the exit status as of waitpid, or nothing if
  // it is still running after the time.
  std::optional<int> WaitExit(std::chrono::milliseconds timeout);
  // True until the process has ended.
  bool IsRunning();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Returns a loopback port that is free now and that no other call returned.
std::uint16_t FreePort();

// Calls the condition until it holds; false if it does not within the time.
bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);

// Folder for the logs and settings of one test; kept for reading after it.
std::string MakeTestDirectory(const std::string& name);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_PROCESS_H_
