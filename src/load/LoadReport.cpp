#include "load/LoadReport.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::chrono::milliseconds BucketWidth{100};
static constexpr std::size_t MostListedGaps = 1000;
static constexpr double MicrosPerMilli = 1000;
/// The latency goals of the target size apply to 95% of the requests.
static constexpr double GoalShare = 0.95;

static std::chrono::microseconds fromSeconds(double Seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6));
}

LoadReport::LoadReport(const LoadOptions &Options)
    : m_Options(Options), m_Begin(fromSeconds(Options.m_WarmUpSeconds)),
      m_End(fromSeconds(Options.m_Seconds)),
      m_TokensPerBucket(static_cast<std::size_t>(m_End / BucketWidth) + 1) {}

void LoadReport::addToken(Micros At, Micros Since, bool IsFirst,
                          bool IsCallMeasured) {
  Micros Length = At - Since;
  auto Bucket = static_cast<std::size_t>(At / BucketWidth);
  if (Bucket < m_TokensPerBucket.size())
    ++m_TokensPerBucket[Bucket];
  if (isMeasured(At))
    ++m_Tokens;
  if (IsCallMeasured)
    (IsFirst ? m_FirstToken : m_Interval)
        .add(static_cast<std::uint64_t>(Length.count()));
  if (!IsFirst && Length >= m_Options.m_ListedGap &&
      m_Gaps.size() < MostListedGaps)
    m_Gaps.push_back({At, Length});
}

void LoadReport::add(const CallRecord &Record) {
  bool IsCallMeasured = isMeasured(Record.m_At);
  Micros Since = Record.m_At;
  bool IsFirst = true;
  for (Micros At : Record.m_TokenTimes) {
    addToken(At, Since, IsFirst, IsCallMeasured);
    Since = At;
    IsFirst = false;
  }
  bool IsCompleted = Record.m_Outcome == "completed";
  if (IsCompleted && isMeasured(Record.m_EndedAt))
    m_CompletedTokens += Record.m_TokenTimes.size();
  m_WrongTokens += Record.m_WrongTokens;
  m_Reconnects += Record.m_Reconnects;
  if (!IsCallMeasured)
    return;
  ++m_Calls;
  ++(Record.m_IsService ? m_ServiceCalls : m_Completions)[Record.m_Outcome];
  if (Record.m_IsService && IsCompleted)
    m_ServiceTime.add(
        static_cast<std::uint64_t>((Record.m_EndedAt - Record.m_At).count()));
}

static Json toJson(const LatencyHistogram &Times) {
  auto Millis = [&Times](double Share) {
    return static_cast<double>(Times.percentile(Share)) / MicrosPerMilli;
  };
  return {{"count", Times.count()},
          {"p50", Millis(0.5)},
          {"p95", Millis(GoalShare)},
          {"p99", Millis(0.99)},
          {"max", static_cast<double>(Times.maximum()) / MicrosPerMilli}};
}

std::string LoadReport::json() const {
  double Seconds = std::chrono::duration<double>(m_End - m_Begin).count();
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
              {"first_token_ms", toJson(m_FirstToken)},
              {"token_interval_ms", toJson(m_Interval)},
              {"service_ms", toJson(m_ServiceTime)},
              {"tokens_per_100_ms", m_TokensPerBucket},
              {"gaps_ms", Gaps}}
      .dump();
}

} // namespace parsleyring
