#include "support/ProcessRunner.h"

#include "support/Eventually.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <stdexcept>

extern char **environ;

namespace parsleyring {

/// Process ids of running children, for the signal handler; 0: free entry.
static std::array<std::atomic<pid_t>, 256> Children{};

static void killChildren(int Signal) {
  for (std::atomic<pid_t> &Child : Children)
    if (pid_t Pid = Child)
      ::kill(Pid, SIGKILL);
  std::signal(Signal, SIG_DFL);
  std::raise(Signal);
}

static void addChild(pid_t Pid) {
  static std::once_flag IsInstalled;
  std::call_once(IsInstalled, [] {
    for (int Signal : {SIGINT, SIGTERM, SIGABRT, SIGSEGV, SIGBUS, SIGFPE})
      std::signal(Signal, killChildren);
  });
  for (std::atomic<pid_t> &Child : Children) {
    pid_t Free = 0;
    if (Child.compare_exchange_strong(Free, Pid))
      return;
  }
  ::kill(Pid, SIGKILL);
  throw std::runtime_error("too many child processes");
}

static void removeChild(pid_t Pid) {
  for (std::atomic<pid_t> &Child : Children) {
    pid_t Own = Pid;
    if (Child.compare_exchange_strong(Own, 0))
      return;
  }
}

static int openTemporaryFile() {
  char Path[] = "/tmp/parsleyring-output-XXXXXX";
  int File = mkostemp(Path, O_CLOEXEC | O_APPEND);
  if (File < 0)
    throw std::runtime_error("cannot create a temporary file");
  unlink(Path);
  return File;
}

static std::string contents(int File) {
  std::string Text;
  std::array<char, 65536> Part;
  while (ssize_t Count = pread(File, Part.data(), Part.size(),
                               static_cast<off_t>(Text.size()))) {
    if (Count < 0)
      break;
    Text.append(Part.data(), static_cast<std::size_t>(Count));
  }
  return Text;
}

ProcessRunner::ProcessRunner(const std::string &Program,
                             const std::vector<std::string> &Arguments)
    : m_Name(Program), m_Output(openTemporaryFile()),
      m_Errors(openTemporaryFile()) {
  std::string Path = std::string(PARSLEYRING_BINARY_DIR) + "/" + Program;
  std::vector<char *> Words = {Path.data()};
  for (const std::string &Argument : Arguments)
    Words.push_back(const_cast<char *>(Argument.c_str()));
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&Actions, m_Output, 1);
  posix_spawn_file_actions_adddup2(&Actions, m_Errors, 2);
  int Error = posix_spawn(&m_Pid, Path.c_str(), &Actions, nullptr, Words.data(),
                          environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    close(m_Output);
    close(m_Errors);
    throw std::runtime_error("cannot start " + Path);
  }
  addChild(m_Pid);
}

ProcessRunner::~ProcessRunner() {
  kill();
  close(m_Output);
  close(m_Errors);
}

std::string ProcessRunner::waitForLine(const std::string &Label) {
  std::string Found;
  bool IsFound = eventually([&] {
    bool WasRunning = isRunning();
    std::string Text = "\n" + output();
    std::size_t Begin = Text.find("\n" + Label + " ");
    std::size_t End =
        Begin == std::string::npos ? Begin : Text.find('\n', Begin + 1);
    if (End != std::string::npos) {
      Begin += Label.size() + 2;
      Found = Text.substr(Begin, End - Begin);
    }
    return !Found.empty() || !WasRunning;
  });
  if (!IsFound || Found.empty())
    throw std::runtime_error(m_Name + " printed no line \"" + Label +
                             " ...\":\n" + output() + errors());
  return Found;
}

bool ProcessRunner::isRunning() {
  if (m_ExitCode)
    return false;
  int Status = 0;
  if (waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return true;
  removeChild(m_Pid);
  m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return false;
}

void ProcessRunner::sendSignal(int Signal) {
  if (isRunning())
    ::kill(m_Pid, Signal);
}

void ProcessRunner::pause() { sendSignal(SIGSTOP); }
void ProcessRunner::resume() { sendSignal(SIGCONT); }
void ProcessRunner::terminate() { sendSignal(SIGTERM); }

void ProcessRunner::kill() {
  sendSignal(SIGKILL);
  waitForExit();
}

std::optional<int> ProcessRunner::waitForExit() {
  eventually([this] { return !isRunning(); });
  return m_ExitCode;
}

std::string ProcessRunner::output() const { return contents(m_Output); }
std::string ProcessRunner::errors() const { return contents(m_Errors); }

} // namespace parsleyring
