#ifndef PARSLEYRING_TESTS_SUPPORT_PROCESSRUNNER_H
#define PARSLEYRING_TESTS_SUPPORT_PROCESSRUNNER_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// A program of this project, run as a child process. Its output goes to
/// temporary files, so the process never blocks on output that is not read. The
/// process is killed with the object, or when a signal ends the test program.
class ProcessRunner {
public:
  /// Starts Program from the build folder.
  ProcessRunner(const std::string &Program,
                const std::vector<std::string> &Arguments);
  ~ProcessRunner();
  ProcessRunner(const ProcessRunner &) = delete;
  ProcessRunner &operator=(const ProcessRunner &) = delete;

  pid_t pid() const { return m_Pid; }
  /// Waits for a line of the output "Label TEXT" and returns TEXT. Throws
  /// std::runtime_error with the output if the line is not printed.
  std::string waitForLine(const std::string &Label);

  bool isRunning();
  void pause();
  void resume();
  /// Sends SIGTERM and does not wait.
  void terminate();
  /// Sends SIGKILL and waits for the exit.
  void kill();
  /// Returns the exit code, 128 + the number of the signal that ended it, or
  /// std::nullopt if it still runs after the limit of eventually().
  std::optional<int> waitForExit();

  /// Standard output and standard error so far.
  std::string output() const;
  std::string errors() const;

private:
  void sendSignal(int Signal);

  std::string m_Name;
  pid_t m_Pid = -1;
  int m_Output;
  int m_Errors;
  std::optional<int> m_ExitCode;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_PROCESSRUNNER_H
