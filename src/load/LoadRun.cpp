#include "load/LoadRun.h"

#include <thread>

namespace parsleyring {

LoadRun::LoadRun(const LoadOptions &Options)
    : m_Options(Options), m_Calls(planCalls(Options)), m_Report(Options) {}

std::string LoadRun::run() {
  LoadCaller::Clock::time_point Start = LoadCaller::Clock::now();
  LoadCaller Caller(m_Options, Start);
  std::vector<std::thread> Threads;
  for (std::uint32_t Index = 0; Index < m_Options.m_Threads; ++Index)
    Threads.emplace_back([&] { work(Caller, Start); });
  for (std::thread &Thread : Threads)
    Thread.join();
  return m_Report.json();
}

void LoadRun::work(const LoadCaller &Caller,
                   LoadCaller::Clock::time_point Start) {
  for (std::size_t Index = m_Next++; Index < m_Calls.size(); Index = m_Next++) {
    const PlannedCall &Planned = m_Calls[Index];
    std::this_thread::sleep_until(Start + Planned.m_At);
    CallRecord Record;
    // All threads were busy. Sending the call late would turn the open-loop
    // load into one that waits for responses.
    if (LoadCaller::Clock::now() - Start >
        Planned.m_At + m_Options.m_StartLimit) {
      Record.m_At = Planned.m_At;
      Record.m_IsService = Planned.m_IsService;
      Record.m_Outcome = "not-sent";
    } else {
      Record = Caller.call(Planned);
    }
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Report.add(Record);
  }
}

} // namespace parsleyring
