#include "console/Workspace.h"

namespace parsleyring {

const ConfigurationHead *Workspace::head() const {
  return m_Loaded.m_Configuration ? &m_Loaded.m_Configuration->m_Head : nullptr;
}

const Document &Workspace::inForce() const {
  static const Document Empty;
  return m_Loaded.m_Configuration ? *m_Loaded.m_Configuration->m_Document
                                  : Empty;
}

DraftBase Workspace::base() const {
  return {m_Loaded.m_Version,
          m_Loaded.m_Configuration ? m_Loaded.m_Configuration->m_HeadJson : ""};
}

bool Workspace::isOutdated() const {
  return !m_Draft.isEmpty() && !(m_Draft.base() == base());
}

bool Workspace::loadDraftBase(PlatformClient &Platform) {
  if (m_Draft.base() == base())
    return true;
  if (m_Draft.base().m_Version == 0)
    m_BaseDocument = std::make_shared<const Document>();
  else
    m_BaseDocument = readDocument(Platform, m_Draft.base().m_HeadJson);
  return m_BaseDocument != nullptr;
}

std::shared_ptr<const Document> readDocument(PlatformClient &Platform,
                                             const std::string &HeadJson) {
  std::vector<Finding> Findings;
  auto Head = ConfigurationHead::fromJson("", HeadJson, Findings);
  if (!Head)
    return nullptr;
  ChunkStore Chunks;
  for (auto Missing = Chunks.missing(*Head); !Missing.empty();
       Missing = Chunks.missing(*Head))
    for (const std::string &Sha256 : Missing) {
      auto Text = Platform.read(configurationChunkKey(Sha256));
      if (!Text || !Chunks.add(Sha256, Text->m_Value))
        return nullptr;
    }
  auto Built = buildConfiguration(*Head, HeadJson, Chunks, nullptr,
                                  DocumentChecker(), Findings);
  return Built ? Built->m_Document : nullptr;
}

} // namespace parsleyring
