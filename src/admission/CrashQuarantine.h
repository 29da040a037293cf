#ifndef PARSLEYRING_ADMISSION_CRASHQUARANTINE_H
#define PARSLEYRING_ADMISSION_CRASHQUARANTINE_H

#include "fleet/EndpointCrash.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyring {

/// Finds the parts of prompts that crash engines. Requests whose prompt has
/// such a part must not be sent.
///
/// A crash cuts off all requests of its engine, so a single one tells little. A
/// part is quarantined if enough crashes, not all at the same moment, cut off
/// unanswered requests with it, if no prompt with it has been answered since,
/// and if no other part explains these crashes better. A part whose prompts
/// were answered before needs more evidence, and is released sooner.
///
/// VMs that have the same crashes come to the same result.
class CrashQuarantine {
public:
  struct Change {
    std::string m_Suspect;
    bool m_IsQuarantined = false;
    int m_Crashes = 0; ///< That the part explains; 0 if it was released.
  };

  /// Adds a crash as reported by a VM, or replaces that VM's earlier report of
  /// it.
  void addCrash(const std::string &Reporter, EndpointCrash Crash);
  void removeCrash(const std::string &Reporter, const std::string &Endpoint);
  /// Records that a prompt with this part was answered at the time At, by an
  /// engine that did not crash.
  void noteAnswer(const std::string &Suspect, Time At);
  bool wasAnswered(const std::string &Suspect) const {
    return m_AnsweredAt.count(Suspect) > 0;
  }
  /// Applies new evidence and drops what is too old. Returns the parts that
  /// have entered or left the quarantine.
  std::vector<Change> update(Time Now);

  std::size_t size() const { return m_Quarantined.size(); }
  bool isQuarantined(const std::string &Suspect) const {
    return m_Quarantined.count(Suspect) > 0;
  }
  /// When the last quarantine of any of these parts ends if there is no further
  /// crash; empty if none of them is quarantined.
  std::optional<Time>
  quarantinedUntil(const std::vector<std::string> &Suspects) const;

  /// Crashes and answers are forgotten after this time.
  static constexpr Duration Memory = std::chrono::minutes(10);

private:
  /// The reports of all VMs on one crash.
  struct MergedCrash {
    Time m_At{};
    std::map<std::string, std::uint32_t> m_Requests; ///< By suspect part.
    bool m_IsExplained = false;
  };
  /// What speaks for a part as the cause of crashes.
  struct Evidence {
    int m_Crashes = 0;
    std::uint32_t m_Requests = 0;
    Time m_FirstAt{};
    Time m_LastAt{};
  };
  /// How much evidence a quarantine takes.
  struct Requirement {
    int m_MinCrashes;
    Duration m_MinSpan; ///< Between the first and the last crash.
    Duration m_Period;  ///< Older crashes do not count.
  };
  struct Quarantine {
    int m_Crashes = 0;
    Time m_Until{};
  };

  static const Requirement NeverAnswered;
  static const Requirement AnsweredBefore;

  const Requirement &requirement(const std::string &Suspect) const;
  void forgetOld(Time Now);
  std::vector<MergedCrash> mergedCrashes() const;
  bool counts(const MergedCrash &Crash, const std::string &Suspect,
              Time Now) const;
  std::map<std::string, Evidence>
  evidence(const std::vector<MergedCrash> &Crashes, Time Now) const;
  bool isBetterCause(const std::string &Suspect, const Evidence &Facts,
                     const std::string &OtherSuspect,
                     const Evidence &OtherFacts) const;
  std::map<std::string, Quarantine> findCauses(Time Now) const;

  /// Reports by engine, then by VM.
  std::map<std::string, std::map<std::string, EndpointCrash>> m_Crashes;
  std::map<std::string, Time> m_AnsweredAt; ///< The last answer, by part.
  /// Suspect parts that some VM has seen answers for.
  std::set<std::string> m_ReportedAsAnswered;
  std::map<std::string, Quarantine> m_Quarantined;
  bool m_HasNewEvidence = false;
  Time m_NextUpdateAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_CRASHQUARANTINE_H
