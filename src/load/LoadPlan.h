#ifndef PARSLEYRING_LOAD_LOADPLAN_H
#define PARSLEYRING_LOAD_LOADPLAN_H

#include "load/LoadOptions.h"

namespace parsleyring {

/// One call of a load run.
struct PlannedCall {
  std::chrono::microseconds m_DueAt{}; ///< After the start of the run.
  std::size_t m_Number = 0;
  std::size_t m_Router = 0;
  std::size_t m_Account = 0;
  bool m_IsService = false;
  std::string m_Prompt;
  std::uint32_t m_Tokens = 0;
};

/// Maximum number of calls of one run; bounds the memory of the plan.
inline constexpr std::size_t MaxPlannedCalls = 1000000;

/// Plans an open-loop load: the arrivals are a Poisson process and do not wait
/// for responses to earlier calls. The same options give the same plan. Throws
/// std::invalid_argument.
std::vector<PlannedCall> planCalls(const LoadOptions &Options);

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADPLAN_H
