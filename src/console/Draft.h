#ifndef PARSLEYRING_CONSOLE_DRAFT_H
#define PARSLEYRING_CONSOLE_DRAFT_H

#include "parsleyring/Document.h"

#include "console/EntityMap.h"

namespace parsleyring {

/// The version of the configuration that a draft builds on.
struct DraftBase {
  ConfigurationVersion m_Version = 0;
  /// Tells a head that was changed by hand from the one of the same version,
  /// and finds the document. Empty if the document could not be read.
  std::string m_HeadJson;

  bool operator==(const DraftBase &Other) const {
    return m_Version == Other.m_Version && m_HeadJson == Other.m_HeadJson;
  }
};

/// Changes of entities that travel in the forms, so that the console keeps
/// nothing between two steps.
class Draft {
public:
  Draft() = default;
  /// No change yet.
  explicit Draft(DraftBase Origin) : m_Base(std::move(Origin)) {}
  /// The changes that lead from Base to Edited.
  Draft(DraftBase Origin, const Document &Base, const Document &Edited);

  /// Empty, with a finding, if Text is not a draft.
  static std::optional<Draft> decode(const std::string &Text,
                                     std::vector<Finding> &Findings);
  std::string encode() const;

  const DraftBase &base() const { return m_Base; }
  bool isEmpty() const { return m_Changes.empty(); }
  std::vector<EntityId> changedEntities() const;

  /// Makes the changes in another document. Those entities that conflicts()
  /// lists are overwritten.
  Document applyTo(const Document &Current) const;
  /// Entities that the draft changes and that are in Current neither as they
  /// were in the base nor as the draft has them.
  std::vector<EntityId> conflicts(const Document &Current) const;
  /// The same changes on another version, without those that conflict.
  Draft rebased(DraftBase Origin, const Document &Current) const;
  /// New content of the changed entities as TOML.
  std::string text() const;

private:
  bool isChanged(const EntityId &Id) const { return m_Changes.count(Id) > 0; }
  template <typename Entity, typename IdOf>
  void applyEach(const std::vector<Entity> &Set, IdOf MakeId,
                 std::vector<Entity> &Entities) const;
  void applyToPools(std::vector<Pool> &Pools) const;

  DraftBase m_Base;
  /// Hash of each changed entity in the base; empty if it was absent.
  std::map<EntityId, std::string> m_Changes;
  /// New content of changed entities; those that are not in it are removed. A
  /// pool that is not changed itself only holds changed endpoints.
  Document m_Set;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_DRAFT_H
