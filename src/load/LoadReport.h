#ifndef PARSLEYRING_LOAD_LOADREPORT_H
#define PARSLEYRING_LOAD_LOADREPORT_H

#include "load/LatencyHistogram.h"
#include "load/LoadCaller.h"

#include <map>

namespace parsleyring {

/// Summarizes the calls of a run. The counts and percentiles of calls cover
/// those due between the end of the warm-up and the end of the arrivals, and
/// the token rates cover what was delivered in that time.
class LoadReport {
public:
  explicit LoadReport(const LoadOptions &Options);

  void add(const CallResult &Result);
  /// The report as one line, of bounded size: 10 buckets per second and 1000
  /// listed gaps.
  std::string json() const;

private:
  using Micros = std::chrono::microseconds;

  struct Gap {
    Micros m_EndedAt;
    Micros m_Length;
  };

  bool isMeasured(Micros At) const {
    return At >= m_MeasuredFrom && At < m_MeasuredUntil;
  }
  void addToken(Micros At, Micros PreviousAt, bool IsFirst,
                bool IsCallMeasured);

  const LoadOptions m_Options;
  const Micros m_MeasuredFrom;
  const Micros m_MeasuredUntil;
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Tokens = 0;
  std::uint64_t m_CompletedTokens = 0;
  std::uint64_t m_Reconnects = 0;
  std::uint64_t m_WrongTokens = 0;
  std::map<std::string, std::uint64_t> m_Completions;
  std::map<std::string, std::uint64_t> m_ServiceCalls;
  LatencyHistogram m_FirstTokenTime;
  LatencyHistogram m_TokenInterval;
  LatencyHistogram m_ServiceCallTime;
  /// By intervals of 100 ms from the start of the run.
  std::vector<std::uint64_t> m_TokensPerBucket;
  std::vector<Gap> m_Gaps;
};

} // namespace parsleyring

#endif // PARSLEYRING_LOAD_LOADREPORT_H
