#include "support/EngineFleet.h"

namespace parsleyring {

EngineModel largeModel() {
  EngineModel Model;
  Model.m_Layers = 80;
  Model.m_LayerMegabytes = 1750;
  Model.m_CacheBytesPerToken = 918000;
  Model.m_StepMilliseconds = 1.02;
  Model.m_StepMillisecondsPerSequence = 0.00714;
  Model.m_PrefillTokensPerMillisecond = 105;
  Model.m_TokensPerEvent = 3;
  Model.m_ActivationBytesPerToken = 45900;
  Model.m_PipeMegabitsPerSecond = 26000;
  Model.m_LoadMilliseconds = 14000;
  Model.m_ConcurrentLoads = 5;
  Model.m_UsualPromptTokens = 774;
  Model.m_UsualAnswerTokens = 200;
  Model.m_CardKinds = {{"a100", 72000, 2.4, 3.2},
                       {"l40s", 43200, 5.6, 2.7},
                       {"l4", 21600, 16, 8.2}};
  return Model;
}

std::vector<PlacementCard> mixedCards() {
  struct Group {
    const char *m_Domain;
    int m_Counts[3]; ///< By kind of card.
  };
  const Group Groups[] = {{"a", {1, 3, 8}}, {"b", {1, 6, 5}}, {"c", {2, 2, 5}}};
  const double Sizes[] = {72000, 43200, 21600};
  const double Factors[] = {2.4, 5.6, 16};
  std::vector<PlacementCard> Cards;
  for (const Group &Members : Groups)
    for (int Kind = 0; Kind < 3; ++Kind)
      for (int Index = 0; Index < Members.m_Counts[Kind]; ++Index)
        Cards.push_back({"e" + std::to_string(Cards.size()),
                         Members.m_Domain,
                         Sizes[Kind],
                         Factors[Kind],
                         {}});
  return Cards;
}

std::vector<FleetTable::Handle> placedEngines() {
  EngineModel Model = largeModel();
  std::vector<PlacementCard> Cards = mixedCards();
  std::vector<FleetTable::Handle> Engines;
  for (const PlacementOrder &Order : LayoutPlanner::plan(Model, Cards)) {
    for (const PlacementCard &Card : Cards) {
      if (Card.m_Endpoint != Order.m_Endpoint)
        continue;
      auto Engine = std::make_shared<FleetEndpoint>();
      Engine->m_Entry.m_Id = Card.m_Endpoint;
      Engine->m_Entry.m_Address = Card.m_Endpoint + ":80";
      Engine->m_Entry.m_FailureDomain = Card.m_FailureDomain;
      Engine->m_Entry.m_Layers = Order.m_Layers;
      for (const CardKind &Kind : Model.m_CardKinds)
        if (Kind.m_MemoryMegabytes == Card.m_MemoryMegabytes)
          Engine->m_Entry.m_CardKind = Kind.m_Name;
      Engines.push_back(Engine);
    }
  }
  return Engines;
}

} // namespace parsleyring
