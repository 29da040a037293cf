#ifndef PARSLEYRING_CONSOLE_WORKSPACE_H
#define PARSLEYRING_CONSOLE_WORKSPACE_H

#include "configuration/ConfigurationPublisher.h"
#include "console/Draft.h"

namespace parsleyring {

/// The configuration in force and the draft of one request.
class Workspace {
public:
  explicit Workspace(LoadedConfiguration Loaded)
      : m_Loaded(std::move(Loaded)) {}

  ConfigurationVersion version() const { return m_Loaded.m_Version; }
  /// Null if there is none or if it cannot be read.
  const ConfigurationHead *head() const;
  /// Why the configuration in the platform cannot be read.
  const std::vector<Finding> &damages() const { return m_Loaded.m_Findings; }
  bool isDamaged() const { return !m_Loaded.m_Findings.empty(); }
  /// An empty document if there is none or if it cannot be read.
  const Document &inForce() const;
  /// Base of a draft that begins now.
  DraftBase base() const;

  void setDraft(Draft Value) { m_Draft = std::move(Value); }
  const Draft &draft() const { return m_Draft; }
  /// The draft builds on another version than the one in force.
  bool isOutdated() const;
  /// Fetches the document that the draft builds on, if another version is in
  /// force. An edit then continues on the version on which its form was
  /// opened. False if that document cannot be read any more. Throws
  /// PlatformError.
  bool openDraftBase(PlatformClient &Platform);
  bool hasOpenedBase() const { return m_BaseDocument != nullptr; }
  /// The base document with the changes of the draft.
  Document edited() const { return m_Draft.applyTo(baseDocument()); }
  /// Replaces the draft by the changes that lead to Edited.
  void edit(const Document &Edited) {
    m_Draft =
        Draft(m_BaseDocument ? m_Draft.base() : base(), baseDocument(), Edited);
  }
  /// Moves the draft to the version in force.
  void rebase() { m_Draft = m_Draft.rebased(base(), inForce()); }

private:
  const Document &baseDocument() const {
    return m_BaseDocument ? *m_BaseDocument : inForce();
  }

  LoadedConfiguration m_Loaded;
  Draft m_Draft;
  /// Null if the draft builds on the version in force.
  std::shared_ptr<const Document> m_BaseDocument;
};

/// The document of a head that was in force earlier; null if its chunks are
/// not in the platform any more. Throws PlatformError.
std::shared_ptr<const Document> readDocument(PlatformClient &Platform,
                                             const std::string &HeadJson);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_WORKSPACE_H
