#include "placement/SuccessionPlanner.h"

#include "placement/LayerMemory.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

// How long a new card waits for the one that it replaces to leave.
static constexpr Duration ReplacementDelay = std::chrono::milliseconds(1800);
// Layers of a card that left this long ago are placed like any others.
static constexpr Duration VacancyLifetime = std::chrono::seconds(15);
// If at most this many cards could be the one that is replaced, waiting for it
// would cost more than a copy of the wrong layers.
static constexpr std::size_t MaxPredecessorsToCopy = 2;

static bool isSameKind(const PlacementCard &Left, const PlacementCard &Right) {
  return Left.m_FailureDomain == Right.m_FailureDomain &&
         Left.m_MemoryMegabytes == Right.m_MemoryMegabytes &&
         Left.m_StepFactor == Right.m_StepFactor;
}

void SuccessionPlanner::clear() {
  m_Holders.clear();
  m_Vacancies.clear();
  m_Copies.clear();
  m_EmptySince.clear();
}

void SuccessionPlanner::trackVacancies(const std::vector<PlacementCard> &Cards,
                                       Time Now) {
  std::map<std::string, PlacementCard> Holders;
  std::map<std::string, Time> EmptySince;
  for (const PlacementCard &Card : Cards) {
    if (!Card.isEmpty()) {
      Holders[Card.m_Endpoint] = Card;
      continue;
    }
    auto Known = m_EmptySince.find(Card.m_Endpoint);
    EmptySince[Card.m_Endpoint] =
        Known == m_EmptySince.end() ? Now : Known->second;
  }
  for (const auto &[Endpoint, Card] : m_Holders) {
    if (Holders.count(Endpoint))
      continue;
    m_Copies.erase(Endpoint);
    const PlacementCard &Former = Card;
    auto Copy = std::find_if(
        m_Copies.begin(), m_Copies.end(), [&](const auto &Candidate) {
          return Candidate.second.m_FailureDomain == Former.m_FailureDomain &&
                 Candidate.second.m_Layers == Former.m_Layers;
        });
    if (Copy != m_Copies.end())
      m_Copies.erase(Copy);
    else
      m_Vacancies.push_back({Former, Now});
  }
  // A card that is back with its layers needs no successor.
  m_Vacancies.erase(
      std::remove_if(m_Vacancies.begin(), m_Vacancies.end(),
                     [&](const Vacancy &Entry) {
                       return Holders.count(Entry.m_Card.m_Endpoint) ||
                              Now - Entry.m_Since >= VacancyLifetime;
                     }),
      m_Vacancies.end());
  m_Holders = std::move(Holders);
  m_EmptySince = std::move(EmptySince);
}

// The empty card closest in size that can hold the layers.
PlacementCard *
SuccessionPlanner::findSuccessor(const EngineModel &Model,
                                 std::vector<PlacementCard> &Cards,
                                 const PlacementCard &Former) const {
  PlacementCard *Best = nullptr;
  auto Difference = [&](const PlacementCard &Card) {
    return std::abs(Card.m_MemoryMegabytes - Former.m_MemoryMegabytes);
  };
  std::uint32_t Layers = Former.m_Layers.m_End - Former.m_Layers.m_First;
  for (PlacementCard &Card : Cards)
    if (Card.isEmpty() && !Card.m_IsBusy &&
        Card.m_FailureDomain == Former.m_FailureDomain &&
        LayerMemory::maxLayers(Model, Card) >= Layers &&
        (!Best || Difference(Card) < Difference(*Best)))
      Best = &Card;
  return Best;
}

// Returns nothing if too many cards could be the one that New replaces.
const PlacementCard *
SuccessionPlanner::findPredecessor(const std::vector<PlacementCard> &Cards,
                                   const PlacementCard &New) const {
  std::vector<const PlacementCard *> Candidates;
  for (const PlacementCard &Card : Cards) {
    bool IsCopied =
        std::any_of(m_Copies.begin(), m_Copies.end(), [&](const auto &Copy) {
          return Copy.second.m_FailureDomain == Card.m_FailureDomain &&
                 Copy.second.m_Layers == Card.m_Layers;
        });
    if (!Card.isEmpty() && !IsCopied && isSameKind(Card, New))
      Candidates.push_back(&Card);
  }
  if (Candidates.empty() || Candidates.size() > MaxPredecessorsToCopy)
    return nullptr;
  return Candidates.front();
}

std::vector<PlacementOrder>
SuccessionPlanner::plan(const EngineModel &Model,
                        std::vector<PlacementCard> &Cards, Time Now) {
  trackVacancies(Cards, Now);
  std::vector<PlacementOrder> Orders;
  auto Order = [&](PlacementCard &Card, LayerRange Layers) {
    Card.m_Layers = Layers;
    m_Holders[Card.m_Endpoint] = Card;
    m_EmptySince.erase(Card.m_Endpoint);
    Orders.push_back({Card.m_Endpoint, Layers});
  };
  for (auto Entry = m_Vacancies.begin(); Entry != m_Vacancies.end();) {
    PlacementCard *Successor = findSuccessor(Model, Cards, Entry->m_Card);
    if (!Successor) {
      ++Entry;
      continue;
    }
    Order(*Successor, Entry->m_Card.m_Layers);
    Entry = m_Vacancies.erase(Entry);
  }
  for (PlacementCard &Card : Cards) {
    if (!Card.isEmpty() || Card.m_IsBusy)
      continue;
    if (const PlacementCard *Predecessor = findPredecessor(Cards, Card)) {
      Order(Card, Predecessor->m_Layers);
      m_Copies[Card.m_Endpoint] = Card;
      continue;
    }
    Card.m_IsReserved = Now - m_EmptySince[Card.m_Endpoint] < ReplacementDelay;
  }
  return Orders;
}

} // namespace parsleyring
