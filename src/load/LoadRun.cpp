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
    Threads.emplace_back([&] { sendCalls(Caller, Start); });
  for (std::thread &Thread : Threads)
    Thread.join();
  return m_Report.json();
}

void LoadRun::sendCalls(const LoadCaller &Caller,
                        LoadCaller::Clock::time_point Start) {
  for (std::size_t Index = m_NextCall++; Index < m_Calls.size();
       Index = m_NextCall++) {
    const PlannedCall &Planned = m_Calls[Index];
    std::this_thread::sleep_until(Start + Planned.m_DueAt);
    CallResult Result;
    // All threads were busy. Sending the call late would turn the open-loop
    // load into one that waits for responses.
    if (LoadCaller::Clock::now() - Start >
        Planned.m_DueAt + m_Options.m_MaxStartDelay) {
      Result.m_DueAt = Planned.m_DueAt;
      Result.m_IsService = Planned.m_IsService;
      Result.m_Outcome = "not-sent";
    } else {
      Result = Caller.call(Planned);
    }
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Report.add(Result);
  }
}

} // namespace parsleyring
