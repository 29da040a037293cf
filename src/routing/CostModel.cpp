#include "routing/CostModel.h"

#include <algorithm>

namespace parsleyring {

/// Expected length of an answer as a share of the token limit: answers usually
/// end before the limit.
static constexpr double ExpectedPartOfMaxTokens = 0.5;
/// Prompt tokens that take about the time of one generated token, as an engine
/// computes prompt tokens in parallel.
static constexpr double PrefillTokensPerToken = 16;
/// Share by which a request takes longer at a full endpoint than at an idle
/// one. Continuous batching slows each stream, and spreading the load keeps
/// slots free where other routes need them.
static constexpr double LoadWeight = 0.5;

CostModel::CostModel(Time Now, const RouteQuery &Query, const LinkTable &Links,
                     std::size_t OwnDomain)
    : m_Now(Now), m_Query(Query), m_Links(Links), m_OwnDomain(OwnDomain),
      m_Tokens(std::max(1.0, Query.m_MaxTokens * ExpectedPartOfMaxTokens)) {}

StageEstimate CostModel::estimate(const Endpoint &Candidate) const {
  StageEstimate Estimate;
  Estimate.m_TokenMicros =
      Candidate.m_Spec.m_TokenMicros * Candidate.m_Pace.ratio(m_Now);
  double Cached =
      Candidate.m_Prefixes.cachedTokens(m_Now, m_Query.m_PrefixHashes);
  double Uncached = std::max(m_Query.m_PromptTokens - Cached, 0.0);
  Estimate.m_PrefillMicros =
      Uncached / PrefillTokensPerToken * Estimate.m_TokenMicros;
  double Slots = std::max(Candidate.m_Spec.m_Slots, 1U);
  double Ahead = Candidate.m_Load.requests(m_Now) - Slots + 1;
  if (Ahead > 0)
    Estimate.m_WaitMicros = Ahead / Slots * m_Tokens * Estimate.m_TokenMicros;
  return Estimate;
}

double CostModel::stageMicros(const StageEstimate &Estimate,
                              double Load) const {
  double Service = Estimate.m_PrefillMicros + m_Tokens * Estimate.m_TokenMicros;
  return Estimate.m_WaitMicros + Service * (1 + LoadWeight * Load);
}

} // namespace parsleyring
