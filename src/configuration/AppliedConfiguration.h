#ifndef PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H
#define PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H

#include "configuration/ChunkStore.h"
#include "document/DocumentChecker.h"

namespace parsleyring {

/// A configuration that was read and checked, with all that is needed to
/// serve it to peers.
struct AppliedConfiguration {
  /// Accounts of one account part: a range of m_Document->m_Accounts.
  struct AccountRange {
    std::size_t m_First = 0;
    std::size_t m_End = 0;
  };

  ConfigurationHead m_Head;
  std::string m_HeadJson;
  ChunkStore m_Chunks;
  std::shared_ptr<const Document> m_Document;
  std::map<std::string, AccountRange> m_AccountRanges; ///< By chunk hash.
};

/// Reads and checks the document of a head whose chunks are all in Chunks.
/// Account parts that Previous (may be null) has as well are not parsed again.
/// Null, with findings, if the document is not valid.
std::shared_ptr<const AppliedConfiguration> buildConfiguration(
    const ConfigurationHead &Head, const std::string &HeadJson,
    const ChunkStore &Chunks, const AppliedConfiguration *Previous,
    const DocumentChecker &Checker, std::vector<Finding> &Findings);

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H
