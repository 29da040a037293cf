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
  /// The document in force with the changes of the draft.
  Document edited() const { return m_Draft.applyTo(inForce()); }
  /// Replaces the draft by the changes that lead to Edited.
  void edit(const Document &Edited) {
    m_Draft = Draft(base(), inForce(), Edited);
  }
  /// Moves the draft to the version in force.
  void rebase() { m_Draft = m_Draft.rebased(base(), inForce()); }

private:
  LoadedConfiguration m_Loaded;
  Draft m_Draft;
};

/// The document of a head that was in force earlier; null if its chunks are
/// not in the platform any more. Throws PlatformError.
std::shared_ptr<const Document> readDocument(PlatformClient &Platform,
                                             const std::string &HeadJson);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_WORKSPACE_H
