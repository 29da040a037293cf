#ifndef PARSLEYRING_TESTS_SUPPORT_PROCESSRESOURCES_H
#define PARSLEYRING_TESTS_SUPPORT_PROCESSRESOURCES_H

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <thread>

namespace parsleyring {

/// Resident memory of a process; 0 if it has ended.
std::size_t residentBytes(pid_t Pid);
/// Open descriptors of a process, or only those of sockets and pipes.
std::size_t openDescriptors(pid_t Pid);
std::size_t openSockets(pid_t Pid);

/// Samples the use of a process until it is destroyed.
class ProcessMonitor {
public:
  explicit ProcessMonitor(pid_t Pid);
  ~ProcessMonitor();

  std::size_t maxResidentBytes() const { return m_MaxResidentBytes; }
  std::size_t maxOpenSockets() const { return m_MaxOpenSockets; }

private:
  pid_t m_Pid;
  std::atomic<std::size_t> m_MaxResidentBytes{0};
  std::atomic<std::size_t> m_MaxOpenSockets{0};
  std::atomic<bool> m_IsStopping{false};
  std::thread m_Thread;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_PROCESSRESOURCES_H
