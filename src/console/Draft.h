#ifndef PARSLEYRING_CONSOLE_DRAFT_H
#define PARSLEYRING_CONSOLE_DRAFT_H

#include "parsleyring/Document.h"

#include "console/EntityMap.h"

namespace parsleyring {

/// The version of the configuration that a draft builds on.
struct DraftBase {
  ConfigurationVersion m_Version = 0;
  std::uint64_t m_ModifyIndex = 0; ///< Of the head in the platform.
  std::string m_HeadJson;          ///< Finds the document of the version.
};

/// Changes of entities that travel in the forms, so that the console keeps
/// nothing between two steps.
class Draft {
public:
  Draft() = default;
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
  /// Entities that the draft changes and that are not in Current as they were
  /// in the base.
  std::vector<EntityId> conflicts(const Document &Current) const;

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
