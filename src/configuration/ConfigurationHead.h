#ifndef PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H
#define PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Key of the head in the platform.
inline const std::string ConfigurationHeadKey = "config/head";
/// Key of a chunk in the platform.
std::string configurationChunkKey(const std::string &Sha256);

/// A part of the document by the hash of its text.
struct ChunkReference {
  std::string m_Name;
  std::string m_Sha256;
};

/// A publication before the one of the head.
struct EarlierSubmission {
  ConfigurationVersion m_Version = 0;
  std::string m_Submission;
};

/// The value that is swapped to publish a configuration.
struct ConfigurationHead {
  ConfigurationVersion m_Version = 0;
  std::vector<ChunkReference> m_Chunks;
  std::string m_Author;
  std::string m_Submission; ///< Id that the console gave the publication.
  std::int64_t m_PublishedAtMillis = 0;
  /// Newest first. With them, a publisher that lost an answer can tell that
  /// its publication took effect even if another one followed.
  std::vector<EarlierSubmission> m_Earlier;

  /// Version in which a submission was published; empty if not known here.
  std::optional<ConfigurationVersion>
  versionOf(const std::string &Submission) const;

  std::string toJson() const;
  /// Empty, with findings, if Text is not a head.
  static std::optional<ConfigurationHead>
  fromJson(const std::string &File, const std::string &Text,
           std::vector<Finding> &Findings);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_CONFIGURATIONHEAD_H
