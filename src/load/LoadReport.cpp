#include "load/LoadReport.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::chrono::milliseconds BucketWidth{100};
static constexpr std::size_t MaxListedGaps = 1000;
static constexpr double MicrosPerMilli = 1000;
/// The latency goals for a deployment of the target size apply to 95% of the
/// requests.
static constexpr double LatencyGoalQuantile = 0.95;

static std::chrono::microseconds fromSeconds(double Seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6));
}

LoadReport::LoadReport(const LoadOptions &Options)
    : m_Options(Options), m_MeasuredFrom(fromSeconds(Options.m_WarmUpSeconds)),
      m_MeasuredUntil(fromSeconds(Options.m_DurationSeconds)),
      m_TokensPerBucket(
          static_cast<std::size_t>(m_MeasuredUntil / BucketWidth) + 1) {}

void LoadReport::addToken(Micros At, Micros PreviousAt, bool IsFirst,
                          bool IsCallMeasured) {
  Micros Interval = At - PreviousAt;
  auto Bucket = static_cast<std::size_t>(At / BucketWidth);
  if (Bucket < m_TokensPerBucket.size())
    ++m_TokensPerBucket[Bucket];
  if (isMeasured(At))
    ++m_Tokens;
  if (IsCallMeasured)
    (IsFirst ? m_FirstTokenTime : m_TokenInterval)
        .add(static_cast<std::uint64_t>(Interval.count()));
  if (!IsFirst && Interval >= m_Options.m_MinListedGap &&
      m_Gaps.size() < MaxListedGaps)
    m_Gaps.push_back({At, Interval});
}

void LoadReport::add(const CallResult &Result) {
  bool IsCallMeasured = isMeasured(Result.m_DueAt);
  Micros PreviousAt = Result.m_DueAt;
  bool IsFirst = true;
  for (Micros At : Result.m_TokenTimes) {
    addToken(At, PreviousAt, IsFirst, IsCallMeasured);
    PreviousAt = At;
    IsFirst = false;
  }
  bool IsCompleted = Result.m_Outcome == "completed";
  if (IsCompleted && isMeasured(Result.m_EndedAt))
    m_CompletedTokens += Result.m_TokenTimes.size();
  m_WrongTokens += Result.m_WrongTokens;
  m_Reconnects += Result.m_Reconnects;
  if (!IsCallMeasured)
    return;
  ++m_Calls;
  ++(Result.m_IsService ? m_ServiceCalls : m_Completions)[Result.m_Outcome];
  if (Result.m_IsService && IsCompleted)
    m_ServiceCallTime.add(static_cast<std::uint64_t>(
        (Result.m_EndedAt - Result.m_DueAt).count()));
}

static Json toJson(const LatencyHistogram &Times) {
  auto Millis = [&Times](double Quantile) {
    return static_cast<double>(Times.percentile(Quantile)) / MicrosPerMilli;
  };
  return {{"count", Times.count()},
          {"p50", Millis(0.5)},
          {"p95", Millis(LatencyGoalQuantile)},
          {"p99", Millis(0.99)},
          {"max", static_cast<double>(Times.maximum()) / MicrosPerMilli}};
}

std::string LoadReport::json() const {
  double Seconds =
      std::chrono::duration<double>(m_MeasuredUntil - m_MeasuredFrom).count();
  Json Gaps = Json::array();
  for (const Gap &Listed : m_Gaps)
    Gaps.push_back(
        {Listed.m_EndedAt.count() / 1000, Listed.m_Length.count() / 1000});
  return Json{{"seed", m_Options.m_Seed},
              {"calls_per_second", m_Options.m_CallsPerSecond},
              {"seconds", Seconds},
              {"calls", m_Calls},
              {"completions", m_Completions},
              {"service_calls", m_ServiceCalls},
              {"reconnects", m_Reconnects},
              {"wrong_tokens", m_WrongTokens},
              {"tokens_per_second", static_cast<double>(m_Tokens) / Seconds},
              {"completed_tokens_per_second",
               static_cast<double>(m_CompletedTokens) / Seconds},
              {"first_token_ms", toJson(m_FirstTokenTime)},
              {"token_interval_ms", toJson(m_TokenInterval)},
              {"service_ms", toJson(m_ServiceCallTime)},
              {"tokens_per_100_ms", m_TokensPerBucket},
              {"gaps_ms", Gaps}}
      .dump();
}

} // namespace parsleyring
