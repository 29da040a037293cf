#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Key-value service key of the head.
inline const std::string ConfigurationHeadKey = "config/head";
/// Key-value service key of the chunk with this hash.
std::string configurationChunkKey(const std::string &Sha256);

/// Reference to a document part by the hash of its text.
struct ChunkReference {
  std::string m_Name;
  std::string m_Sha256;
};

/// A publication older than the one of the head.
struct EarlierSubmission {
  ConfigurationVersion m_Version = 0;
  std::string m_Submission;
};

/// The value that is replaced by compare-and-swap to publish a configuration.
struct ConfigurationHead {
  ConfigurationVersion m_Version = 0;
  std::vector<ChunkReference> m_Chunks;
  std::string m_Author;
  std::string m_Submission; ///< Publication id, assigned by the console.
  std::int64_t m_PublishedAtMillis = 0;
  /// Newest first. Lets a publisher whose answer was lost detect that its
  /// publication took effect even if another one followed.
  std::vector<EarlierSubmission> m_Earlier;

  /// Version that the submission was published as; empty if the head does not
  /// list it.
  std::optional<ConfigurationVersion>
  versionOf(const std::string &Submission) const;

  std::string toJson() const;
  /// Returns an empty result and adds findings if Text is not a valid head.
  /// File names the source in findings.
  static std::optional<ConfigurationHead>
  fromJson(const std::string &File, const std::string &Text,
           std::vector<Finding> &Findings);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H
