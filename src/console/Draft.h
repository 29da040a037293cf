#ifndef PARSLEYRING_CONSOLE_DRAFT_H
#define PARSLEYRING_CONSOLE_DRAFT_H

#include "parsleyring/Document.h"

#include "console/EntityMap.h"

namespace parsleyring {

/// The configuration version that a draft is based on.
struct DraftBase {
  ConfigurationVersion m_Version = 0;
  /// The head as stored in the platform: locates the document, and shows if the
  /// head was changed by hand without a new version. Empty if the document
  /// could not be read.
  std::string m_HeadJson;

  bool operator==(const DraftBase &Other) const {
    return m_Version == Other.m_Version && m_HeadJson == Other.m_HeadJson;
  }
};

/// Unpublished changes of entities. Forms carry the draft in a hidden field, so
/// the console keeps no state between two requests.
class Draft {
public:
  Draft() = default;
  /// A draft without changes.
  explicit Draft(DraftBase NewBase) : m_Base(std::move(NewBase)) {}
  /// The changes that lead from Base to Edited.
  Draft(DraftBase NewBase, const Document &Base, const Document &Edited);

  /// Reads encode()d text. Empty, with a finding, if Text is not a valid draft.
  static std::optional<Draft> decode(const std::string &Text,
                                     std::vector<Finding> &Findings);
  std::string encode() const;

  const DraftBase &base() const { return m_Base; }
  bool isEmpty() const { return m_Changes.empty(); }
  std::vector<EntityId> changedEntities() const;

  /// Applies the changes to another document. Overwrites the entities that
  /// conflicts() lists.
  Document applyTo(const Document &Current) const;
  /// Entities that the draft changes and that in Current match neither the base
  /// nor the draft, and entities that the draft would remove along with a pool.
  std::vector<EntityId> conflicts(const Document &Current) const;
  /// The same changes on another version, without the conflicting ones.
  Draft rebased(DraftBase NewBase, const Document &Current) const;
  /// New content of the changed entities as TOML.
  std::string toToml() const;

private:
  bool isChanged(const EntityId &Id) const { return m_Changes.count(Id) > 0; }
  template <typename Entity, typename IdOf>
  void applyToEntities(const std::vector<Entity> &NewValues, IdOf MakeId,
                       std::vector<Entity> &Entities) const;
  void applyToPools(std::vector<Pool> &Pools) const;

  DraftBase m_Base;
  /// For each changed entity its hash in the base; empty if the base lacks it.
  std::map<EntityId, std::string> m_Changes;
  /// New content of the changed entities; a changed entity that is missing here
  /// is removed. A pool whose own fields are unchanged is present only to hold
  /// its changed endpoints.
  Document m_NewValues;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_DRAFT_H
