#ifndef PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H
#define PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H

#include "configuration/ChunkStore.h"
#include "document/DocumentChecker.h"

namespace parsleyring {

/// A parsed and checked configuration, with the head and chunks needed to serve
/// it to peers.
struct AppliedConfiguration {
  /// Accounts of one account part, as an index range of m_Document->m_Accounts.
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

/// Parses and checks the document of a head; Chunks must hold all its chunks.
/// Account parts that Previous (may be null) also has are not parsed again.
/// Returns null and adds findings if the document is invalid.
std::shared_ptr<const AppliedConfiguration> buildConfiguration(
    const ConfigurationHead &Head, const std::string &HeadJson,
    const ChunkStore &Chunks, const AppliedConfiguration *Previous,
    const DocumentChecker &Checker, std::vector<Finding> &Findings);

} // namespace parsleyring

#endif // PARSLEYRING_CONFIGURATION_APPLIEDCONFIGURATION_H
