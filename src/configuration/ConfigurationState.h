#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H

#include "configuration/AppliedConfiguration.h"

#include <set>

namespace parsleyring {

/// Source name of the platform; all other sources are ids of peers.
inline const std::string PlatformSource = "platform";

/// A head, chunk or document that was rejected.
struct ConfigurationRejection {
  Time m_At;
  std::string m_Source;
  ConfigurationVersion m_Version = 0; ///< 0 if unknown.
  std::vector<Finding> m_Findings;
};

struct ConfigurationCounters {
  std::uint64_t m_Applied = 0;
  std::uint64_t m_OlderHeads = 0;     ///< Older than the version in force.
  std::uint64_t m_RejectedHeads = 0;  ///< Malformed, or same version changed.
  std::uint64_t m_RejectedChunks = 0; ///< Texts that do not have their hash.
  std::uint64_t m_InvalidDocuments = 0;
};

/// Decides which configuration is in force. Deterministic: uses no thread,
/// clock or socket; the owner fetches heads and chunks. The version in force
/// only increases.
class ConfigurationState {
public:
  /// Maximum time that a starting node waits for the answers of all start
  /// sources, so that it does not begin with an old configuration because the
  /// first answer had it.
  static constexpr Duration StartTimeout = std::chrono::seconds(3);

  /// StartSources are the sources that the owner queries at the start; each of
  /// their answers goes to handleHeadAnswer().
  ConfigurationState(Time Start, const std::vector<std::string> &StartSources,
                     const DocumentChecker &Checker = DocumentChecker());

  /// Handles the answer of a source. HeadJson is empty if the source has no
  /// head or cannot be reached.
  void handleHeadAnswer(Time Now, const std::string &Source,
                        const std::optional<std::string> &HeadJson);

  /// A head with a newer version than the one in force.
  struct Candidate {
    ConfigurationHead m_Head;
    std::string m_Json;
    std::set<std::string> m_Sources;
  };
  /// Returns the newest candidate; null if there is none, or while answers of
  /// start sources are awaited.
  const Candidate *candidate(Time Now) const;
  bool isWaitingForAnswers(Time Now) const;
  Time startDeadline() const { return m_Start + StartTimeout; }

  /// Hashes of the chunks that must still be fetched for the candidate. Call
  /// again after fetching: the account index, once present, adds more chunks.
  std::vector<std::string> missingChunks(const Candidate &ForCandidate) const;
  /// Returns false if the text does not have the hash.
  bool addChunk(Time Now, const std::string &Source, const std::string &Sha256,
                const std::string &Text);
  /// Parses and checks a candidate all of whose chunks are present. Returns
  /// true if the configuration is now in force. A candidate with an invalid
  /// document is never accepted again.
  bool apply(Time Now, const Candidate &Wanted);
  /// Removes a candidate whose chunks no source could provide; the candidate
  /// returns when a source offers it again.
  void removeCandidate(const Candidate &Unavailable);

  ConfigurationVersion version() const;
  /// The configuration in force; null before the first one.
  std::shared_ptr<const AppliedConfiguration> inForce() const {
    return m_InForce;
  }
  const ConfigurationCounters &counters() const { return m_Counters; }
  /// Rejections since the last call. Content that is rejected repeatedly is
  /// listed once.
  std::vector<ConfigurationRejection> takeRejections();

private:
  void addRejection(Time Now, const std::string &Source,
                    ConfigurationVersion Version, const std::string &Content,
                    std::vector<Finding> Findings);
  void rejectNotNewer(Time Now, const std::string &Source,
                      const ConfigurationHead &Head, const std::string &Json);

  const Time m_Start;
  const DocumentChecker m_Checker;
  std::set<std::string> m_AwaitedSources;
  /// By version, newest first, then by the text of the head.
  std::map<std::pair<ConfigurationVersion, std::string>, Candidate,
           std::greater<>>
      m_Candidates;
  ChunkStore m_Chunks;
  std::shared_ptr<const AppliedConfiguration> m_InForce;
  std::set<std::string>
      m_InvalidHeads; ///< Hashes of heads with an invalid document.
  std::set<std::string> m_Recorded; ///< Hashes of recorded rejections.
  std::vector<ConfigurationRejection> m_Rejections;
  ConfigurationCounters m_Counters;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H
