#include "admission/CrashQuarantine.h"

#include <algorithm>
#include <tuple>

namespace parsleyring {

// Few requests are sent to more than two endpoints, so three crashes are hardly
// the bad luck of a single harmless one.
const CrashQuarantine::Requirement CrashQuarantine::NeverAnswered{
    3, std::chrono::milliseconds(250), Memory, true};
// When a whole failure domain fails, parts that many prompts have, and requests
// that are repeated often, are cut off on many endpoints at once.
const CrashQuarantine::Requirement CrashQuarantine::AnsweredBefore{
    5, std::chrono::seconds(1), std::chrono::minutes(1), false};

// A request that was sent again after the first crash, and whose next endpoint
// crashed too.
static constexpr int MinSuccessive = 2;

// Crashes by which a prompt part that was answered before must exceed a request
// to be the cause in its place. One may have another reason.
static constexpr int MinExcessOfPart = 2;

static constexpr std::size_t MaxCrashes = 512;
static constexpr std::size_t MaxAnsweredSuspects = 20000;
// How often old evidence is dropped.
static constexpr Duration UpdateInterval = std::chrono::seconds(5);

void CrashQuarantine::addCrash(const std::string &Reporter,
                               EndpointCrash Crash) {
  if (m_Crashes.size() >= MaxCrashes && !m_Crashes.count(Crash.m_Endpoint)) {
    auto IsOlder = [](const auto &Left, const auto &Right) {
      return Left.second.begin()->second.m_At <
             Right.second.begin()->second.m_At;
    };
    m_Crashes.erase(
        std::min_element(m_Crashes.begin(), m_Crashes.end(), IsOlder));
  }
  m_Crashes[Crash.m_Endpoint][Reporter] = std::move(Crash);
  m_HasNewEvidence = true;
}

void CrashQuarantine::removeCrash(const std::string &Reporter,
                                  const std::string &Endpoint) {
  auto Reports = m_Crashes.find(Endpoint);
  if (Reports == m_Crashes.end())
    return;
  Reports->second.erase(Reporter);
  if (Reports->second.empty())
    m_Crashes.erase(Reports);
  m_HasNewEvidence = true;
}

void CrashQuarantine::noteAnswer(const std::string &Suspect, Time At) {
  bool IsRequest = EndpointCrash::isRequestSuspect(Suspect);
  if (IsRequest) {
    m_AnsweredRequests.add(Suspect, At);
    if (!m_UnansweredCrashes.count(Suspect) && !isQuarantined(Suspect))
      return;
  }
  auto Known = m_AnsweredAt.find(Suspect);
  if (Known != m_AnsweredAt.end())
    Known->second = std::max(Known->second, At);
  else if (IsRequest || m_AnsweredAt.size() < MaxAnsweredSuspects)
    m_AnsweredAt[Suspect] = At;
  // An answer can only end a quarantine.
  if (isAnswerNews(Suspect))
    m_HasNewEvidence = true;
}

bool CrashQuarantine::isAnswerNews(const std::string &Suspect) const {
  if (isQuarantined(Suspect))
    return true;
  auto Known = m_UnansweredCrashes.find(Suspect);
  return Known != m_UnansweredCrashes.end() &&
         Known->second >= NeverAnswered.m_MinCrashes - 1;
}

std::optional<Time> CrashQuarantine::quarantinedUntil(
    const std::vector<std::string> &Suspects) const {
  std::optional<Time> Until;
  if (m_Quarantined.empty())
    return Until;
  for (const std::string &Suspect : Suspects) {
    auto Found = m_Quarantined.find(Suspect);
    if (Found != m_Quarantined.end())
      Until = std::max(Until.value_or(Time{}), Found->second.m_Until);
  }
  return Until;
}

std::vector<CrashQuarantine::Change> CrashQuarantine::update(Time Now) {
  if (!m_HasNewEvidence && Now < m_NextUpdateAt)
    return {};
  m_HasNewEvidence = false;
  m_NextUpdateAt = Now + UpdateInterval;
  forgetOld(Now);
  std::map<std::string, Quarantine> Causes = findCauses(Now);
  std::vector<Change> Changes;
  for (const auto &[Suspect, Found] : Causes)
    if (!m_Quarantined.count(Suspect))
      Changes.push_back({Suspect, true, Found.m_Crashes});
  for (const auto &[Suspect, Former] : m_Quarantined)
    if (!Causes.count(Suspect))
      Changes.push_back({Suspect, false, 0});
  m_Quarantined = std::move(Causes);
  return Changes;
}

void CrashQuarantine::forgetOld(Time Now) {
  for (auto Entry = m_AnsweredAt.begin(); Entry != m_AnsweredAt.end();)
    Entry = Now - Entry->second > Memory ? m_AnsweredAt.erase(Entry)
                                         : std::next(Entry);
  m_ReportedAsAnswered.clear();
  for (auto Reports = m_Crashes.begin(); Reports != m_Crashes.end();) {
    auto &ByReporter = Reports->second;
    for (auto Entry = ByReporter.begin(); Entry != ByReporter.end();)
      Entry = Now - Entry->second.m_At > Memory ? ByReporter.erase(Entry)
                                                : std::next(Entry);
    for (const auto &[Reporter, Crash] : ByReporter)
      for (const EndpointCrash::Suspect &Suspect : Crash.m_Suspects)
        if (Suspect.m_WasAnswered)
          m_ReportedAsAnswered.insert(Suspect.m_Id);
    Reports =
        ByReporter.empty() ? m_Crashes.erase(Reports) : std::next(Reports);
  }
}

const CrashQuarantine::Requirement &
CrashQuarantine::requirement(const std::string &Suspect) const {
  return wasAnswered(Suspect) || m_ReportedAsAnswered.count(Suspect)
             ? AnsweredBefore
             : NeverAnswered;
}

std::vector<CrashQuarantine::MergedCrash>
CrashQuarantine::mergedCrashes() const {
  std::vector<MergedCrash> Merged;
  for (const auto &[Endpoint, ByReporter] : m_Crashes) {
    MergedCrash Crash;
    Crash.m_At = Time::max();
    for (const auto &[Reporter, Report] : ByReporter) {
      Crash.m_At = std::min(Crash.m_At, Report.m_At);
      for (const EndpointCrash::Suspect &Suspect : Report.m_Suspects) {
        CutOff &Requests = Crash.m_CutOffs[Suspect.m_Id];
        if (Requests.m_Requests == 0 || Suspect.m_SentAt < Requests.m_SentAt)
          Requests.m_SentAt = Suspect.m_SentAt;
        Requests.m_Requests += Suspect.m_Requests;
      }
    }
    Merged.push_back(std::move(Crash));
  }
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const MergedCrash &Left, const MergedCrash &Right) {
                     return Left.m_At < Right.m_At;
                   });
  return Merged;
}

bool CrashQuarantine::counts(const MergedCrash &Crash,
                             const std::string &Suspect, Time Now) const {
  if (Crash.m_IsExplained || Now - Crash.m_At > requirement(Suspect).m_Period)
    return false;
  auto Answered = m_AnsweredAt.find(Suspect);
  return Answered == m_AnsweredAt.end() || Crash.m_At > Answered->second;
}

CrashQuarantine::Evidence CrashQuarantine::evidence(
    const std::string &Suspect, const std::vector<MergedCrash> &Crashes,
    const std::vector<std::size_t> &Indices, Time Now) const {
  Evidence Facts;
  for (std::size_t Index : Indices) {
    const MergedCrash &Crash = Crashes[Index];
    if (!counts(Crash, Suspect, Now))
      continue;
    const CutOff &Requests = Crash.m_CutOffs.at(Suspect);
    if (Facts.m_Crashes == 0)
      Facts.m_FirstAt = Crash.m_At;
    Facts.m_LastAt = Crash.m_At;
    ++Facts.m_Crashes;
    Facts.m_Requests += Requests.m_Requests;
    if (Requests.m_SentAt != Time{} &&
        Requests.m_SentAt >= Facts.m_LastSuccessiveAt) {
      ++Facts.m_Successive;
      Facts.m_LastSuccessiveAt = Crash.m_At;
    }
  }
  return Facts;
}

bool CrashQuarantine::isSufficient(const std::string &Suspect,
                                   const Evidence &Facts) const {
  const Requirement &Needed = requirement(Suspect);
  if (Facts.m_Crashes < Needed.m_MinCrashes)
    return false;
  if (Facts.m_LastAt - Facts.m_FirstAt >= Needed.m_MinSpan)
    return true;
  return Needed.m_AllowsSuccessive && Facts.m_Successive >= MinSuccessive;
}

// Of two suspects that were cut off by the same crashes, the one with fewer
// requests is the cause: a harmless one that is as frequent in crashes is that
// because it is frequent in general. If these are the same, a prompt part goes
// before a request, which has no crashes that its parts do not have.
bool CrashQuarantine::isBetterCause(const std::string &Suspect,
                                    const Evidence &Facts,
                                    const std::string &OtherSuspect,
                                    const Evidence &OtherFacts) const {
  auto Rank = [this](const std::string &Id, const Evidence &Found) {
    bool IsRequest = EndpointCrash::isRequestSuspect(Id);
    bool WasAnswered = &requirement(Id) == &AnsweredBefore;
    return std::make_tuple(WasAnswered, WasAnswered && IsRequest,
                           -Found.m_Crashes, Found.m_Requests, IsRequest);
  };
  return Rank(Suspect, Facts) < Rank(OtherSuspect, OtherFacts);
}

// All prompts with a part that was answered before may have been cut off by the
// crashes of one request. The part is the cause only if it has clearly more
// crashes than the request that has most.
const std::string &CrashQuarantine::bestCause(
    const std::map<std::string, Evidence> &Candidates) const {
  auto IsBetter = [this](const auto &Left, const auto &Right) {
    return isBetterCause(Left.first, Left.second, Right.first, Right.second);
  };
  const auto Best =
      std::min_element(Candidates.begin(), Candidates.end(), IsBetter);
  if (!EndpointCrash::isRequestSuspect(Best->first) ||
      &requirement(Best->first) == &AnsweredBefore)
    return Best->first;
  auto Part = Candidates.end();
  for (auto Each = Candidates.begin(); Each != Candidates.end(); ++Each)
    if (!EndpointCrash::isRequestSuspect(Each->first) &&
        Each->second.m_Crashes >= Best->second.m_Crashes + MinExcessOfPart &&
        (Part == Candidates.end() || IsBetter(*Each, *Part)))
      Part = Each;
  return Part == Candidates.end() ? Best->first : Part->first;
}

// Takes the best cause, leaves out the crashes that it explains, and goes on
// with the others.
std::map<std::string, CrashQuarantine::Quarantine>
CrashQuarantine::findCauses(Time Now) {
  std::vector<MergedCrash> Crashes = mergedCrashes();
  std::map<std::string, std::vector<std::size_t>> IndicesBySuspect;
  for (std::size_t Index = 0; Index < Crashes.size(); ++Index)
    for (const auto &[Suspect, Requests] : Crashes[Index].m_CutOffs)
      IndicesBySuspect[Suspect].push_back(Index);
  std::map<std::string, Evidence> Candidates;
  m_UnansweredCrashes.clear();
  for (const auto &[Suspect, Indices] : IndicesBySuspect) {
    Evidence Facts = evidence(Suspect, Crashes, Indices, Now);
    if (EndpointCrash::isRequestSuspect(Suspect))
      m_UnansweredCrashes[Suspect] = Facts.m_Crashes;
    if (isSufficient(Suspect, Facts))
      Candidates[Suspect] = Facts;
  }
  std::map<std::string, Quarantine> Causes;
  while (!Candidates.empty()) {
    // A copy, since the candidate will be erased.
    const std::string Cause = bestCause(Candidates);
    const Evidence &Best = Candidates[Cause];
    Causes[Cause] = {Best.m_Crashes,
                     Best.m_LastAt + requirement(Cause).m_Period};
    std::set<std::string> Affected;
    for (std::size_t Index : IndicesBySuspect[Cause]) {
      MergedCrash &Crash = Crashes[Index];
      if (!counts(Crash, Cause, Now))
        continue;
      Crash.m_IsExplained = true;
      for (const auto &[Suspect, Requests] : Crash.m_CutOffs)
        if (Candidates.count(Suspect))
          Affected.insert(Suspect);
    }
    for (const std::string &Suspect : Affected) {
      Evidence Facts =
          evidence(Suspect, Crashes, IndicesBySuspect[Suspect], Now);
      if (isSufficient(Suspect, Facts))
        Candidates[Suspect] = Facts;
      else
        Candidates.erase(Suspect);
    }
  }
  return Causes;
}

} // namespace parsleyring
