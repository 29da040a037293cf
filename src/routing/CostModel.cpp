#include "routing/CostModel.h"

#include <algorithm>

namespace parsleyring {

/// Expected length of an answer as a share of the token limit: answers usually
/// end before the limit.
static constexpr double ExpectedAnswerShare = 0.5;
/// Prompt tokens that take about the time of one generated token, as an engine
/// computes prompt tokens in parallel.
static constexpr double PrefillTokensPerGeneratedToken = 16;
/// Fraction by which a request takes longer at a full endpoint than at an idle
/// one. Continuous batching slows each stream, and spreading the load keeps
/// slots free where other routes need them.
static constexpr double LoadWeight = 0.5;

CostModel::CostModel(Time Now, const RouteQuery &Query, const LinkTable &Links,
                     std::size_t OwnDomain)
    : m_Now(Now), m_Query(Query), m_Links(Links), m_OwnDomain(OwnDomain),
      m_ExpectedTokens(std::max(1.0, Query.m_MaxTokens * ExpectedAnswerShare)) {
}

StageEstimate CostModel::estimate(const Endpoint &Candidate) const {
  StageEstimate Estimate;
  Estimate.m_TokenMicros =
      Candidate.m_Spec.m_TokenMicros * Candidate.m_Slowdown.ratio(m_Now);
  double CachedTokens =
      Candidate.m_Prefixes.cachedTokens(m_Now, m_Query.m_PrefixHashes);
  double UncachedTokens = std::max(m_Query.m_PromptTokens - CachedTokens, 0.0);
  Estimate.m_PrefillMicros =
      UncachedTokens / PrefillTokensPerGeneratedToken * Estimate.m_TokenMicros;
  double Slots = std::max(Candidate.m_Spec.m_Slots, 1U);
  double RequestsAhead = Candidate.m_Load.requests(m_Now) - Slots + 1;
  if (RequestsAhead > 0)
    Estimate.m_WaitMicros =
        RequestsAhead / Slots * m_ExpectedTokens * Estimate.m_TokenMicros;
  return Estimate;
}

double CostModel::stageMicros(const StageEstimate &Estimate,
                              double Load) const {
  double ServiceMicros =
      Estimate.m_PrefillMicros + m_ExpectedTokens * Estimate.m_TokenMicros;
  return Estimate.m_WaitMicros + ServiceMicros * (1 + LoadWeight * Load);
}

} // namespace parsleyring
