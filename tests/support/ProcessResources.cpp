#include "support/ProcessResources.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace parsleyring {

static constexpr std::chrono::milliseconds SampleInterval{5};

static std::string processFolder(pid_t Pid) {
  return "/proc/" + std::to_string(Pid) + "/";
}

std::size_t residentBytes(pid_t Pid) {
  std::ifstream File(processFolder(Pid) + "statm");
  std::size_t All = 0;
  std::size_t Resident = 0;
  File >> All >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Counts the descriptors whose target begins with one of Kinds.
static std::size_t countDescriptors(pid_t Pid,
                                    std::initializer_list<const char *> Kinds) {
  std::size_t Count = 0;
  std::error_code Error;
  std::filesystem::directory_iterator Entry(processFolder(Pid) + "fd", Error);
  for (; !Error && Entry != std::filesystem::directory_iterator();
       Entry.increment(Error)) {
    // The descriptor may have been closed in the meantime.
    std::error_code Closed;
    std::string Target =
        std::filesystem::read_symlink(Entry->path(), Closed).string();
    for (const char *Kind : Kinds)
      if (!Closed && Target.rfind(Kind, 0) == 0)
        ++Count;
  }
  return Count;
}

std::size_t openDescriptors(pid_t Pid) { return countDescriptors(Pid, {""}); }

std::size_t openSockets(pid_t Pid) {
  return countDescriptors(Pid, {"socket:", "pipe:"});
}

ProcessMonitor::ProcessMonitor(pid_t Pid) : m_Pid(Pid) {
  m_Thread = std::thread([this] {
    while (!m_IsStopping) {
      m_MaxResidentBytes =
          std::max(m_MaxResidentBytes.load(), residentBytes(m_Pid));
      m_MaxOpenSockets = std::max(m_MaxOpenSockets.load(), openSockets(m_Pid));
      std::this_thread::sleep_for(SampleInterval);
    }
  });
}

ProcessMonitor::~ProcessMonitor() {
  m_IsStopping = true;
  m_Thread.join();
}

} // namespace parsleyring
