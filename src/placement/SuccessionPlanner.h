#ifndef PARSLEYRING_PLACEMENT_SUCCESSIONPLANNER_H
#define PARSLEYRING_PLACEMENT_SUCCESSIONPLANNER_H

#include "placement/LayoutPlanner.h"

#include <map>
#include <set>

namespace parsleyring {

/// Lets empty cards take over exactly the layers of cards that have left or are
/// leaving, so that a layout survives the replacement of its engines. Operators
/// add the new engine first, so a new card waits briefly for the one that it
/// replaces; if few cards of its kind can be that one, it copies the layers of
/// one of them in advance.
class SuccessionPlanner {
public:
  /// Returns orders to empty cards and sets their m_Layers. Cards that wait for
  /// a card to leave become reserved. Cards are all that hold or can hold
  /// layers and get new requests; a card that is no longer among them has left.
  std::vector<PlacementOrder> plan(const EngineModel &Model,
                                   std::vector<PlacementCard> &Cards, Time Now);
  void clear();

private:
  /// Layers that a card held when it left.
  struct Vacancy {
    PlacementCard m_Card;
    Time m_Since{};
    std::string m_Successor; ///< Endpoint that is loading them; or empty.
  };

  void trackVacancies(const std::vector<PlacementCard> &Cards, Time Now);
  void checkSuccessors(const std::vector<PlacementCard> &Cards, Time Now);
  PlacementCard *findSuccessor(const EngineModel &Model,
                               std::vector<PlacementCard> &Cards,
                               const PlacementCard &Former) const;
  const PlacementCard *findPredecessor(const PlacementCard &New) const;

  /// By endpoint, with the layers that each card was last known to hold.
  std::map<std::string, PlacementCard> m_Holders;
  std::vector<Vacancy> m_Vacancies;
  /// Cards that hold a copy in advance, and for which no card has left yet.
  std::map<std::string, PlacementCard> m_Copies;
  std::map<std::string, Time> m_EmptySince; ///< By endpoint.
};

} // namespace parsleyring

#endif // PARSLEYRING_PLACEMENT_SUCCESSIONPLANNER_H
