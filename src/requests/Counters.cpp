#include "requests/Counters.h"

#include "core/NameTable.h"

namespace parsleyring {

static constexpr NameTable<Counter, static_cast<std::size_t>(Counter::Count)>
    CounterNames{{"requests_received",
                  "requests_rejected",
                  "requests_completed",
                  "requests_failed",
                  "requests_not_run",
                  "requests_unknown",
                  "attempts_started",
                  "attempts_failed",
                  "attempts_stalled",
                  "retries",
                  "resumes",
                  "tokens_delivered",
                  "tokens_dropped_stale_epoch",
                  "tokens_rejected_hops",
                  "tokens_rejected_position",
                  "quarantines",
                  "endpoints_leaving",
                  "configurations_applied",
                  "configurations_ignored",
                  "claims_requested",
                  "claims_released_late",
                  "events_ignored"}};

std::map<std::string, std::uint64_t> Counters::totals() const {
  std::map<std::string, std::uint64_t> Result;
  for (std::size_t Index = 0; Index < m_Totals.size(); ++Index)
    Result.emplace(CounterNames.m_Names[Index], m_Totals[Index]);
  return Result;
}

} // namespace parsleyring
