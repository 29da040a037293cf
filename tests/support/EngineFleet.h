#ifndef PARSLEYRING_TESTS_SUPPORT_ENGINEFLEET_H
#define PARSLEYRING_TESTS_SUPPORT_ENGINEFLEET_H

#include "fleet/EngineModel.h"
#include "fleet/FleetTable.h"
#include "placement/LayoutPlanner.h"

namespace parsleyring {

/// A model of 80 layers of 1,750 MB, for three kinds of cards.
EngineModel largeModel();

/// 33 cards of the three kinds in the failure domains "a", "b" and "c".
std::vector<PlacementCard> mixedCards();

/// The engines of mixedCards() with the layers that LayoutPlanner assigns.
std::vector<FleetTable::Handle> placedEngines();

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_ENGINEFLEET_H
