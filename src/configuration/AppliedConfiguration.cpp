#include "configuration/AppliedConfiguration.h"

#include "document/DocumentParts.h"

namespace parsleyring {

/// Adds an account part; reuses the parsed accounts of Previous if Previous has
/// a part with the same hash.
static void addAccountPart(const ChunkReference &Part, const std::string &Text,
                           const AppliedConfiguration *Previous,
                           DocumentReader &Reader,
                           std::vector<Finding> &Findings) {
  if (Previous) {
    auto Known = Previous->m_AccountRanges.find(Part.m_Sha256);
    if (Known != Previous->m_AccountRanges.end()) {
      const ClientAccount *All = Previous->m_Document->m_Accounts.data();
      Reader.addKnownAccounts(Part.m_Name, Text, All + Known->second.m_First,
                              All + Known->second.m_End);
      return;
    }
  }
  Reader.addAccounts(Part.m_Name, Text, Findings);
}

std::shared_ptr<const AppliedConfiguration> buildConfiguration(
    const ConfigurationHead &Head, const std::string &HeadJson,
    const ChunkStore &Chunks, const AppliedConfiguration *Previous,
    const DocumentChecker &Checker, std::vector<Finding> &Findings) {
  auto Result = std::make_shared<AppliedConfiguration>();
  std::optional<std::vector<ChunkReference>> Parts =
      Chunks.documentChunks(Head);
  if (!Parts) {
    Findings.push_back({AccountIndexName, 0, "",
                        "must have lines NAME = \"SHA-256\" of account parts"});
    return nullptr;
  }
  std::size_t InitialFindings = Findings.size();
  DocumentReader Reader;
  for (const ChunkReference &Part : *Parts) {
    const std::string &Text = *Chunks.find(Part.m_Sha256);
    if (!isAccountPart(Part.m_Name)) {
      Reader.add(Part.m_Name, Text, Findings);
      continue;
    }
    std::size_t First = Reader.document().m_Accounts.size();
    addAccountPart(Part, Text, Previous, Reader, Findings);
    Result->m_AccountRanges[Part.m_Sha256] = {
        First, Reader.document().m_Accounts.size()};
  }
  Reader.check(Checker, Findings);
  if (Findings.size() != InitialFindings)
    return nullptr;
  Result->m_Head = Head;
  Result->m_HeadJson = HeadJson;
  Result->m_Chunks = Chunks.subsetFor(Head);
  Result->m_Document = std::make_shared<const Document>(Reader.takeDocument());
  return Result;
}

} // namespace parsleyring
