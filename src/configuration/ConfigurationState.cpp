#include "configuration/ConfigurationState.h"

#include <utility>

namespace parsleyring {

/// Limits for tables that sources could otherwise grow without bound.
static constexpr std::size_t MaxRecordedHashes = 256;
static constexpr std::size_t MaxCandidates = 16;

ConfigurationState::ConfigurationState(
    Time Start, const std::vector<std::string> &StartSources,
    const DocumentChecker &Checker)
    : m_Start(Start), m_Checker(Checker),
      m_AwaitedSources(StartSources.begin(), StartSources.end()) {}

ConfigurationVersion ConfigurationState::version() const {
  return m_InForce ? m_InForce->m_Head.m_Version : 0;
}

bool ConfigurationState::isWaitingForAnswers(Time Now) const {
  return !m_AwaitedSources.empty() && Now < startDeadline();
}

void ConfigurationState::addRejection(Time Now, const std::string &Source,
                                      ConfigurationVersion Version,
                                      const std::string &Content,
                                      std::vector<Finding> Findings) {
  if (m_Recorded.size() >= MaxRecordedHashes)
    m_Recorded.clear();
  if (m_Recorded.insert(sha256Hex(Content)).second)
    m_Rejections.push_back({Now, Source, Version, std::move(Findings)});
}

std::vector<ConfigurationRejection> ConfigurationState::takeRejections() {
  return std::exchange(m_Rejections, {});
}

void ConfigurationState::rejectNotNewer(Time Now, const std::string &Source,
                                        const ConfigurationHead &Head,
                                        const std::string &Json) {
  if (Head.m_Version < version())
    ++m_Counters.m_OlderHeads;
  else
    ++m_Counters.m_RejectedHeads;
  // Older versions from peers are normal and not recorded. The platform has an
  // older version only if its content was restored to an earlier state, and one
  // version must never have two contents.
  if (Head.m_Version < version() && Source != PlatformSource)
    return;
  std::string Message = Head.m_Version < version()
                            ? "version " + std::to_string(Head.m_Version) +
                                  " is older than version " +
                                  std::to_string(version()) + " in force"
                            : "version " + std::to_string(Head.m_Version) +
                                  " has another content than the one in force";
  addRejection(Now, Source, Head.m_Version, Json,
               {{Source, 0, "version", Message}});
}

void ConfigurationState::handleHeadAnswer(
    Time Now, const std::string &Source,
    const std::optional<std::string> &HeadJson) {
  m_AwaitedSources.erase(Source);
  if (!HeadJson || HeadJson->empty())
    return;
  if (m_InForce && *HeadJson == m_InForce->m_HeadJson)
    return;
  std::vector<Finding> Findings;
  std::optional<ConfigurationHead> Head =
      ConfigurationHead::fromJson(Source, *HeadJson, Findings);
  if (!Head) {
    ++m_Counters.m_RejectedHeads;
    addRejection(Now, Source, 0, *HeadJson, std::move(Findings));
    return;
  }
  if (Head->m_Version <= version()) {
    rejectNotNewer(Now, Source, *Head, *HeadJson);
    return;
  }
  if (m_InvalidHeads.count(sha256Hex(*HeadJson)) > 0)
    return;
  Candidate &Offered = m_Candidates[{Head->m_Version, *HeadJson}];
  Offered.m_Head = std::move(*Head);
  Offered.m_Json = *HeadJson;
  Offered.m_Sources.insert(Source);
  if (m_Candidates.size() > MaxCandidates)
    m_Candidates.erase(std::prev(m_Candidates.end()));
}

const ConfigurationState::Candidate *
ConfigurationState::candidate(Time Now) const {
  if (m_Candidates.empty() || isWaitingForAnswers(Now))
    return nullptr;
  return &m_Candidates.begin()->second;
}

std::vector<std::string>
ConfigurationState::missingChunks(const Candidate &ForCandidate) const {
  return m_Chunks.missing(ForCandidate.m_Head);
}

bool ConfigurationState::addChunk(Time Now, const std::string &Source,
                                  const std::string &Sha256,
                                  const std::string &Text) {
  if (m_Chunks.add(Sha256, Text))
    return true;
  ++m_Counters.m_RejectedChunks;
  addRejection(Now, Source, 0, Source + "\n" + Sha256 + "\n" + Text,
               {{Source, 0, "config/chunks/" + Sha256,
                 "the text does not have this SHA-256"}});
  return false;
}

bool ConfigurationState::apply(Time Now, const Candidate &Wanted) {
  // Copied, since Wanted may refer to the candidate that is erased below.
  const Candidate CandidateCopy = Wanted;
  m_Candidates.erase({CandidateCopy.m_Head.m_Version, CandidateCopy.m_Json});
  if (CandidateCopy.m_Head.m_Version <= version())
    return false;
  std::vector<Finding> Findings;
  auto Built =
      buildConfiguration(CandidateCopy.m_Head, CandidateCopy.m_Json, m_Chunks,
                         m_InForce.get(), m_Checker, Findings);
  if (!Built) {
    ++m_Counters.m_InvalidDocuments;
    if (m_InvalidHeads.size() >= MaxRecordedHashes)
      m_InvalidHeads.clear();
    m_InvalidHeads.insert(sha256Hex(CandidateCopy.m_Json));
    addRejection(Now, *CandidateCopy.m_Sources.begin(),
                 CandidateCopy.m_Head.m_Version, CandidateCopy.m_Json,
                 std::move(Findings));
    m_Chunks = m_InForce ? m_InForce->m_Chunks : ChunkStore();
    return false;
  }
  ++m_Counters.m_Applied;
  m_InForce = std::move(Built);
  m_Chunks = m_InForce->m_Chunks;
  while (!m_Candidates.empty() &&
         std::prev(m_Candidates.end())->first.first <= version())
    m_Candidates.erase(std::prev(m_Candidates.end()));
  return true;
}

void ConfigurationState::removeCandidate(const Candidate &Unavailable) {
  // Keeps the chunks fetched so far for the next attempt, and drops those of
  // earlier candidates.
  m_Chunks = m_Chunks.subsetFor(Unavailable.m_Head);
  if (m_InForce)
    m_Chunks.addAll(m_InForce->m_Chunks);
  m_Candidates.erase({Unavailable.m_Head.m_Version, Unavailable.m_Json});
}

} // namespace parsleyring
