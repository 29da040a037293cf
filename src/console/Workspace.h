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
  /// Null if no configuration is published or its document cannot be read.
  const ConfigurationHead *head() const;
  /// Why the configuration in the platform cannot be read.
  const std::vector<Finding> &loadFindings() const {
    return m_Loaded.m_Findings;
  }
  bool isDamaged() const { return !m_Loaded.m_Findings.empty(); }
  /// Document in force; empty if there is none or if it cannot be read.
  const Document &inForce() const;
  /// Base for a new draft: the version in force.
  DraftBase base() const;

  void setDraft(Draft Value) { m_Draft = std::move(Value); }
  const Draft &draft() const { return m_Draft; }
  /// Whether the draft has changes that are based on another version than the
  /// one in force.
  bool isOutdated() const;
  /// Loads the draft's base document if another version is in force, so that an
  /// edit applies to the version that its form was opened on. Returns false if
  /// that document can no longer be read. Throws PlatformError.
  bool loadDraftBase(PlatformClient &Platform);
  bool hasLoadedBase() const { return m_BaseDocument != nullptr; }
  /// The base document with the changes of the draft.
  Document edited() const { return m_Draft.applyTo(baseDocument()); }
  /// Replaces the draft by the changes that lead to Edited.
  void edit(const Document &Edited) {
    m_Draft =
        Draft(m_BaseDocument ? m_Draft.base() : base(), baseDocument(), Edited);
  }
  /// Rebases the draft on the version in force, without conflicting changes.
  void rebase() { m_Draft = m_Draft.rebased(base(), inForce()); }

private:
  const Document &baseDocument() const {
    return m_BaseDocument ? *m_BaseDocument : inForce();
  }

  LoadedConfiguration m_Loaded;
  Draft m_Draft;
  /// Set if the draft is based on a version that is not in force.
  std::shared_ptr<const Document> m_BaseDocument;
};

/// Reads the document of an earlier head. Null if the head is malformed or a
/// chunk is no longer in the platform. Throws PlatformError.
std::shared_ptr<const Document> readDocument(PlatformClient &Platform,
                                             const std::string &HeadJson);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_WORKSPACE_H
