#include "admission/CrashQuarantine.h"

#include <algorithm>
#include <tuple>

namespace parsleyring {

// Few requests are sent to more than two engines, so three crashes are hardly
// the bad luck of a single harmless one.
const CrashQuarantine::Requirement CrashQuarantine::NeverAnswered{
    3, std::chrono::milliseconds(250), Memory};
// When a whole failure domain fails, parts that many prompts have lose requests
// on many engines at once.
const CrashQuarantine::Requirement CrashQuarantine::AnsweredBefore{
    5, std::chrono::seconds(1), std::chrono::minutes(1)};

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
  auto Known = m_AnsweredAt.find(Suspect);
  if (Known != m_AnsweredAt.end())
    Known->second = std::max(Known->second, At);
  else if (m_AnsweredAt.size() < MaxAnsweredSuspects)
    m_AnsweredAt[Suspect] = At;
  // An answer can only end a quarantine.
  if (isQuarantined(Suspect))
    m_HasNewEvidence = true;
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
      for (const EndpointCrash::Suspect &Suspect : Report.m_Suspects)
        Crash.m_Requests[Suspect.m_Id] += Suspect.m_Requests;
    }
    Merged.push_back(std::move(Crash));
  }
  return Merged;
}

bool CrashQuarantine::counts(const MergedCrash &Crash,
                             const std::string &Suspect, Time Now) const {
  if (Crash.m_IsExplained || Now - Crash.m_At > requirement(Suspect).m_Period)
    return false;
  auto Answered = m_AnsweredAt.find(Suspect);
  return Answered == m_AnsweredAt.end() || Crash.m_At > Answered->second;
}

std::map<std::string, CrashQuarantine::Evidence>
CrashQuarantine::evidence(const std::vector<MergedCrash> &Crashes,
                          Time Now) const {
  std::map<std::string, Evidence> BySuspect;
  for (const MergedCrash &Crash : Crashes)
    for (const auto &[Suspect, Requests] : Crash.m_Requests) {
      if (!counts(Crash, Suspect, Now))
        continue;
      Evidence &Facts = BySuspect[Suspect];
      Facts.m_FirstAt = Facts.m_Crashes == 0
                            ? Crash.m_At
                            : std::min(Facts.m_FirstAt, Crash.m_At);
      Facts.m_LastAt = std::max(Facts.m_LastAt, Crash.m_At);
      ++Facts.m_Crashes;
      Facts.m_Requests += Requests;
    }
  return BySuspect;
}

// Of two parts that were cut off by the same crashes, the one with fewer
// requests is the cause: a harmless part that is as frequent in crashes is that
// because it is frequent in general.
bool CrashQuarantine::isBetterCause(const std::string &Suspect,
                                    const Evidence &Facts,
                                    const std::string &OtherSuspect,
                                    const Evidence &OtherFacts) const {
  bool IsNew = &requirement(Suspect) == &NeverAnswered;
  bool IsOtherNew = &requirement(OtherSuspect) == &NeverAnswered;
  return std::make_tuple(!IsNew, -Facts.m_Crashes, Facts.m_Requests) <
         std::make_tuple(!IsOtherNew, -OtherFacts.m_Crashes,
                         OtherFacts.m_Requests);
}

// Takes the best cause, leaves out the crashes that it explains, and goes on
// with the others.
std::map<std::string, CrashQuarantine::Quarantine>
CrashQuarantine::findCauses(Time Now) const {
  std::map<std::string, Quarantine> Causes;
  std::vector<MergedCrash> Crashes = mergedCrashes();
  while (true) {
    std::map<std::string, Evidence> BySuspect = evidence(Crashes, Now);
    auto Best = BySuspect.end();
    for (auto Entry = BySuspect.begin(); Entry != BySuspect.end(); ++Entry) {
      const auto &[Suspect, Facts] = *Entry;
      const Requirement &Needed = requirement(Suspect);
      if (Facts.m_Crashes < Needed.m_MinCrashes ||
          Facts.m_LastAt - Facts.m_FirstAt < Needed.m_MinSpan)
        continue;
      if (Best == BySuspect.end() ||
          isBetterCause(Suspect, Facts, Best->first, Best->second))
        Best = Entry;
    }
    if (Best == BySuspect.end())
      return Causes;
    const auto &[Suspect, Facts] = *Best;
    Causes[Suspect] = {Facts.m_Crashes,
                       Facts.m_LastAt + requirement(Suspect).m_Period};
    for (MergedCrash &Crash : Crashes)
      if (Crash.m_Requests.count(Suspect) && counts(Crash, Suspect, Now))
        Crash.m_IsExplained = true;
  }
}

} // namespace parsleyring
