#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H

#include "configuration/AppliedConfiguration.h"

#include <set>

namespace parsleyring {

/// Name of the platform among the sources; the others are ids of peers.
inline const std::string PlatformSource = "platform";

/// Something that was offered and not taken.
struct ConfigurationRejection {
  Time m_At;
  std::string m_Source;
  ConfigurationVersion m_Version = 0; ///< 0 if it could not be read.
  std::vector<Finding> m_Findings;
};

struct ConfigurationCounters {
  std::uint64_t m_Applied = 0;
  std::uint64_t m_OlderHeads = 0;     ///< Offers below the version in force.
  std::uint64_t m_RejectedHeads = 0;  ///< Malformed, or of another content.
  std::uint64_t m_RejectedChunks = 0; ///< Text that does not have its hash.
  std::uint64_t m_InvalidDocuments = 0;
};

/// Decides which configuration is in force. Deterministic: it has no thread,
/// clock or socket; the owner fetches what it asks for. The version in force
/// only increases.
class ConfigurationState {
public:
  /// A starting node waits this long for the answers of all sources, so that
  /// it does not begin with an old configuration from the first one.
  static constexpr Duration StartWait = std::chrono::seconds(3);

  /// StartSources are asked at the start; each answer is noted.
  ConfigurationState(Time Start, const std::vector<std::string> &StartSources,
                     const DocumentChecker &Checker = DocumentChecker());

  /// A source answered with a head, or it has none or cannot be reached.
  void noteAnswer(Time Now, const std::string &Source,
                  const std::optional<std::string> &HeadJson);

  /// A head that is newer than the configuration in force.
  struct Candidate {
    ConfigurationHead m_Head;
    std::string m_Json;
    std::set<std::string> m_Sources;
  };
  /// The newest candidate; null if there is none, or while answers of start
  /// sources are awaited.
  const Candidate *candidate(Time Now) const;
  bool isWaitingForAnswers(Time Now) const;
  Time startDeadline() const { return m_Start + StartWait; }

  /// Hashes of the chunks to fetch for the candidate. Grows once: the account
  /// index names further chunks.
  std::vector<std::string> missingChunks(const Candidate &For) const;
  /// False if the text does not have the hash.
  bool addChunk(Time Now, const std::string &Source, const std::string &Sha256,
                const std::string &Text);
  /// Reads and checks a candidate that misses no chunk. True if it is now in
  /// force; otherwise its content is never a candidate again.
  bool apply(Time Now, const Candidate &Wanted);
  /// No source of the candidate has all chunks: forgets it until it is offered
  /// again.
  void postpone(const Candidate &Unavailable);

  ConfigurationVersion version() const;
  /// Null before the first configuration.
  std::shared_ptr<const AppliedConfiguration> inForce() const {
    return m_InForce;
  }
  const ConfigurationCounters &counters() const { return m_Counters; }
  /// What was rejected since the last call. The same content is listed once.
  std::vector<ConfigurationRejection> takeRejections();

private:
  void record(Time Now, const std::string &Source, ConfigurationVersion Version,
              const std::string &Content, std::vector<Finding> Findings);
  void noteOlder(Time Now, const std::string &Source,
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
  std::set<std::string> m_InvalidHeads; ///< Hashes of heads never to take.
  std::set<std::string> m_Recorded;     ///< Hashes of recorded rejections.
  std::vector<ConfigurationRejection> m_Rejections;
  ConfigurationCounters m_Counters;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONSTATE_H
