#ifndef PARSLEYRING_TESTS_SUPPORT_PROCESSRUNNER_H
#define PARSLEYRING_TESTS_SUPPORT_PROCESSRUNNER_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// A program of this project, run as a child process. Its output goes to
/// temporary files, which it can fill without anyone reading. The process does
/// not outlive the object, nor a test program that ends by a signal.
class ProcessRunner {
public:
  /// Starts Program of the build folder.
  ProcessRunner(const std::string &Program,
                const std::vector<std::string> &Arguments);
  ~ProcessRunner();
  ProcessRunner(const ProcessRunner &) = delete;
  ProcessRunner &operator=(const ProcessRunner &) = delete;

  pid_t pid() const { return m_Pid; }
  /// Waits for a line of the output "Label TEXT" and returns TEXT. Throws
  /// std::runtime_error with the output if the line does not come.
  std::string waitForLine(const std::string &Label);

  bool isRunning();
  void pause();
  void resume();
  /// Asks the process to end, and does not wait.
  void terminate();
  /// Ends the process at once.
  void kill();
  /// Returns the exit code, 128 + the number of the signal that ended it, or
  /// nothing if it still runs after the limit of eventually().
  std::optional<int> waitForExit();

  /// Standard output and standard error until now.
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
