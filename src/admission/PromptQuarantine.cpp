#include "admission/PromptQuarantine.h"

#include <algorithm>
#include <tuple>

namespace parsleyring {

// Few requests are sent to more than two engines, so three crashes are hardly
// the bad luck of a single harmless one.
const PromptQuarantine::Requirement PromptQuarantine::NeverAnswered{
    3, std::chrono::milliseconds(250), Memory};
// When a whole failure domain fails, parts that many prompts have lose requests
// on many engines at once.
const PromptQuarantine::Requirement PromptQuarantine::AnsweredBefore{
    5, std::chrono::seconds(1), std::chrono::minutes(1)};

static constexpr std::size_t MaxEngines = 512;
static constexpr std::size_t MaxAnsweredParts = 20000;
// How often old evidence is dropped.
static constexpr Duration UpdateInterval = std::chrono::seconds(5);

void PromptQuarantine::addCrash(const std::string &Reporter,
                                EngineCrash Crash) {
  if (m_Crashes.size() >= MaxEngines && !m_Crashes.count(Crash.m_Engine)) {
    auto IsOlder = [](const auto &Left, const auto &Right) {
      return Left.second.begin()->second.m_At <
             Right.second.begin()->second.m_At;
    };
    m_Crashes.erase(
        std::min_element(m_Crashes.begin(), m_Crashes.end(), IsOlder));
  }
  m_Crashes[Crash.m_Engine][Reporter] = std::move(Crash);
  m_HasNewEvidence = true;
}

void PromptQuarantine::removeCrash(const std::string &Reporter,
                                   const std::string &Engine) {
  auto Reports = m_Crashes.find(Engine);
  if (Reports == m_Crashes.end())
    return;
  Reports->second.erase(Reporter);
  if (Reports->second.empty())
    m_Crashes.erase(Reports);
  m_HasNewEvidence = true;
}

void PromptQuarantine::noteAnswer(const std::string &Part, Time At) {
  auto Known = m_AnsweredAt.find(Part);
  if (Known != m_AnsweredAt.end())
    Known->second = std::max(Known->second, At);
  else if (m_AnsweredAt.size() < MaxAnsweredParts)
    m_AnsweredAt[Part] = At;
  // An answer can only end a quarantine.
  if (isQuarantined(Part))
    m_HasNewEvidence = true;
}

std::optional<Time> PromptQuarantine::quarantinedUntil(
    const std::vector<std::string> &Parts) const {
  std::optional<Time> Until;
  if (m_Quarantined.empty())
    return Until;
  for (const std::string &Part : Parts) {
    auto Found = m_Quarantined.find(Part);
    if (Found != m_Quarantined.end())
      Until = std::max(Until.value_or(Time{}), Found->second.m_Until);
  }
  return Until;
}

std::vector<PromptQuarantine::Change> PromptQuarantine::update(Time Now) {
  if (!m_HasNewEvidence && Now < m_NextUpdateAt)
    return {};
  m_HasNewEvidence = false;
  m_NextUpdateAt = Now + UpdateInterval;
  forgetOld(Now);
  std::map<std::string, Quarantine> Causes = findCauses(Now);
  std::vector<Change> Changes;
  for (const auto &[Part, Found] : Causes)
    if (!m_Quarantined.count(Part))
      Changes.push_back({Part, true, Found.m_Crashes});
  for (const auto &[Part, Former] : m_Quarantined)
    if (!Causes.count(Part))
      Changes.push_back({Part, false, 0});
  m_Quarantined = std::move(Causes);
  return Changes;
}

void PromptQuarantine::forgetOld(Time Now) {
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
      for (const EngineCrash::Suspect &Suspect : Crash.m_Suspects)
        if (Suspect.m_WasAnswered)
          m_ReportedAsAnswered.insert(Suspect.m_Part);
    Reports =
        ByReporter.empty() ? m_Crashes.erase(Reports) : std::next(Reports);
  }
}

const PromptQuarantine::Requirement &
PromptQuarantine::requirement(const std::string &Part) const {
  return wasAnswered(Part) || m_ReportedAsAnswered.count(Part) ? AnsweredBefore
                                                               : NeverAnswered;
}

std::vector<PromptQuarantine::MergedCrash>
PromptQuarantine::mergedCrashes() const {
  std::vector<MergedCrash> Merged;
  for (const auto &[Engine, ByReporter] : m_Crashes) {
    MergedCrash Crash;
    Crash.m_At = Time::max();
    for (const auto &[Reporter, Report] : ByReporter) {
      Crash.m_At = std::min(Crash.m_At, Report.m_At);
      for (const EngineCrash::Suspect &Suspect : Report.m_Suspects)
        Crash.m_Requests[Suspect.m_Part] += Suspect.m_Requests;
    }
    Merged.push_back(std::move(Crash));
  }
  return Merged;
}

bool PromptQuarantine::counts(const MergedCrash &Crash, const std::string &Part,
                              Time Now) const {
  if (Crash.m_IsExplained || Now - Crash.m_At > requirement(Part).m_Period)
    return false;
  auto Answered = m_AnsweredAt.find(Part);
  return Answered == m_AnsweredAt.end() || Crash.m_At > Answered->second;
}

std::map<std::string, PromptQuarantine::Evidence>
PromptQuarantine::evidence(const std::vector<MergedCrash> &Crashes,
                           Time Now) const {
  std::map<std::string, Evidence> ByPart;
  for (const MergedCrash &Crash : Crashes)
    for (const auto &[Part, Requests] : Crash.m_Requests) {
      if (!counts(Crash, Part, Now))
        continue;
      Evidence &Facts = ByPart[Part];
      Facts.m_FirstAt = Facts.m_Crashes == 0
                            ? Crash.m_At
                            : std::min(Facts.m_FirstAt, Crash.m_At);
      Facts.m_LastAt = std::max(Facts.m_LastAt, Crash.m_At);
      ++Facts.m_Crashes;
      Facts.m_Requests += Requests;
    }
  return ByPart;
}

// Of two parts that were cut off by the same crashes, the one with fewer
// requests is the cause: a harmless part that is as frequent in crashes is that
// because it is frequent in general.
bool PromptQuarantine::isBetterCause(const std::string &Part,
                                     const Evidence &Facts,
                                     const std::string &OtherPart,
                                     const Evidence &OtherFacts) const {
  bool IsNew = &requirement(Part) == &NeverAnswered;
  bool IsOtherNew = &requirement(OtherPart) == &NeverAnswered;
  return std::make_tuple(!IsNew, -Facts.m_Crashes, Facts.m_Requests) <
         std::make_tuple(!IsOtherNew, -OtherFacts.m_Crashes,
                         OtherFacts.m_Requests);
}

// Takes the best cause, leaves out the crashes that it explains, and goes on
// with the others.
std::map<std::string, PromptQuarantine::Quarantine>
PromptQuarantine::findCauses(Time Now) const {
  std::map<std::string, Quarantine> Causes;
  std::vector<MergedCrash> Crashes = mergedCrashes();
  while (true) {
    std::map<std::string, Evidence> ByPart = evidence(Crashes, Now);
    auto Best = ByPart.end();
    for (auto Entry = ByPart.begin(); Entry != ByPart.end(); ++Entry) {
      const auto &[Part, Facts] = *Entry;
      const Requirement &Needed = requirement(Part);
      if (Facts.m_Crashes < Needed.m_MinCrashes ||
          Facts.m_LastAt - Facts.m_FirstAt < Needed.m_MinSpan)
        continue;
      if (Best == ByPart.end() ||
          isBetterCause(Part, Facts, Best->first, Best->second))
        Best = Entry;
    }
    if (Best == ByPart.end())
      return Causes;
    const auto &[Part, Facts] = *Best;
    Causes[Part] = {Facts.m_Crashes,
                    Facts.m_LastAt + requirement(Part).m_Period};
    for (MergedCrash &Crash : Crashes)
      if (Crash.m_Requests.count(Part) && counts(Crash, Part, Now))
        Crash.m_IsExplained = true;
  }
}

} // namespace parsleyring
