#ifndef PARSLEYRING_ADMISSION_CRASHQUARANTINE_H
#define PARSLEYRING_ADMISSION_CRASHQUARANTINE_H

#include "admission/RecentSet.h"
#include "fleet/EndpointCrash.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyring {

/// Finds what crashes endpoints: parts of prompts, and requests that are
/// repeated. Requests with such a suspect must not be sent.
///
/// A crash cuts off all requests of its endpoint, so a single one tells little.
/// A suspect is quarantined if enough crashes cut off unanswered requests with
/// it, if no request with it has been answered since, and if no other suspect
/// explains these crashes better. Crashes at the same moment may have a common
/// cause; they count only if the request was sent again after one of them and
/// crashed the next endpoint too.
/// A suspect that was answered before needs more evidence, and is released
/// sooner.
///
/// VMs that have the same crashes come to the same result.
class CrashQuarantine {
public:
  struct Change {
    std::string m_Suspect;
    bool m_IsQuarantined = false;
    int m_Crashes = 0; ///< That the suspect explains; 0 if it was released.
  };

  /// Adds a crash as reported by a VM, or replaces that VM's earlier report of
  /// it.
  void addCrash(const std::string &Reporter, EndpointCrash Crash);
  void removeCrash(const std::string &Reporter, const std::string &Endpoint);
  /// Records that a request with this suspect was answered at the time At, by
  /// an endpoint that did not crash.
  void noteAnswer(const std::string &Suspect, Time At);
  bool wasAnswered(const std::string &Suspect) const {
    return m_AnsweredAt.count(Suspect) > 0 ||
           m_AnsweredRequests.contains(Suspect);
  }
  /// True if an answer now ends the quarantine of the suspect, or prevents it
  /// on VMs that do not know of the answer.
  bool isAnswerNews(const std::string &Suspect) const;
  /// Applies new evidence and drops what is too old. Returns the suspects that
  /// have entered or left the quarantine.
  std::vector<Change> update(Time Now);

  std::size_t size() const { return m_Quarantined.size(); }
  /// True if crashes have cut off requests that can be repeated.
  bool hasRequestSuspects() const { return !m_UnansweredCrashes.empty(); }
  bool isQuarantined(const std::string &Suspect) const {
    return m_Quarantined.count(Suspect) > 0;
  }
  /// When the last quarantine of any of these suspects ends if there is no
  /// further crash; empty if none of them is quarantined.
  std::optional<Time>
  quarantinedUntil(const std::vector<std::string> &Suspects) const;

  /// Crashes and answers are forgotten after this time.
  static constexpr Duration Memory = std::chrono::minutes(10);

private:
  /// The requests with a suspect that a crash cut off.
  struct CutOff {
    std::uint32_t m_Requests = 0;
    Time m_SentAt{}; ///< Of the first one; zero if unknown.
  };
  /// The reports of all VMs on one crash.
  struct MergedCrash {
    Time m_At{};
    std::map<std::string, CutOff> m_CutOffs; ///< By suspect.
    bool m_IsExplained = false;
  };
  /// What speaks for a suspect as the cause of crashes.
  struct Evidence {
    int m_Crashes = 0;
    /// Of these, the longest series in which the request was sent again after
    /// each crash.
    int m_Successive = 0;
    std::uint32_t m_Requests = 0;
    Time m_FirstAt{};
    Time m_LastAt{};
    Time m_LastSuccessiveAt{};
  };
  /// How much evidence a quarantine takes.
  struct Requirement {
    int m_MinCrashes;
    /// Between the first and the last crash, unless some are successive.
    Duration m_MinSpan;
    Duration m_Period; ///< Older crashes do not count.
    bool m_AllowsSuccessive;
  };
  struct Quarantine {
    int m_Crashes = 0;
    Time m_Until{};
  };

  static const Requirement NeverAnswered;
  static const Requirement AnsweredBefore;

  const Requirement &requirement(const std::string &Suspect) const;
  void forgetOld(Time Now);
  /// In the order of their times.
  std::vector<MergedCrash> mergedCrashes() const;
  bool counts(const MergedCrash &Crash, const std::string &Suspect,
              Time Now) const;
  /// Of the crashes with these indices.
  Evidence evidence(const std::string &Suspect,
                    const std::vector<MergedCrash> &Crashes,
                    const std::vector<std::size_t> &Indices, Time Now) const;
  bool isSufficient(const std::string &Suspect, const Evidence &Facts) const;
  bool isBetterCause(const std::string &Suspect, const Evidence &Facts,
                     const std::string &OtherSuspect,
                     const Evidence &OtherFacts) const;
  const std::string &
  bestCause(const std::map<std::string, Evidence> &Candidates) const;
  std::map<std::string, Quarantine> findCauses(Time Now);

  static constexpr std::size_t MaxAnsweredRequests = 10000;

  /// Reports by endpoint, then by VM.
  std::map<std::string, std::map<std::string, EndpointCrash>> m_Crashes;
  /// The last answer, by suspect; of requests, only those that crashes have cut
  /// off.
  std::map<std::string, Time> m_AnsweredAt;
  RecentSet m_AnsweredRequests{MaxAnsweredRequests, Memory / 2};
  /// Crashes since the last answer, by request suspect.
  std::map<std::string, int> m_UnansweredCrashes;
  /// Suspects that some VM has seen answers for.
  std::set<std::string> m_ReportedAsAnswered;
  std::map<std::string, Quarantine> m_Quarantined;
  bool m_HasNewEvidence = false;
  Time m_NextUpdateAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_CRASHQUARANTINE_H
