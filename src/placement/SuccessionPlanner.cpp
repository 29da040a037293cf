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
    const std::string &Endpoint = Card.m_Endpoint;
    // The layers of a busy card are only ordered; the order may yet fail.
    auto Former = m_Holders.find(Endpoint);
    if (Card.m_IsBusy && Former != m_Holders.end()) {
      Holders.insert(*Former);
    } else if (Card.m_IsBusy || Card.isEmpty()) {
      auto Known = m_EmptySince.find(Endpoint);
      EmptySince[Endpoint] = Known == m_EmptySince.end() ? Now : Known->second;
    } else {
      Holders[Endpoint] = Card;
    }
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
      m_Vacancies.push_back({Former, Now, ""});
  }
  m_Holders = std::move(Holders);
  m_EmptySince = std::move(EmptySince);
  checkSuccessors(Cards, Now);
}

void SuccessionPlanner::checkSuccessors(const std::vector<PlacementCard> &Cards,
                                        Time Now) {
  auto IsBusy = [&](const std::string &Endpoint) {
    return std::any_of(Cards.begin(), Cards.end(),
                       [&](const PlacementCard &Card) {
                         return Card.m_Endpoint == Endpoint && Card.m_IsBusy;
                       });
  };
  auto IsFilled = [&](Vacancy &Entry) {
    // A card that is back with its layers needs no successor.
    if (m_Holders.count(Entry.m_Card.m_Endpoint) ||
        Now - Entry.m_Since >= VacancyLifetime)
      return true;
    if (Entry.m_Successor.empty() || IsBusy(Entry.m_Successor))
      return false;
    auto Successor = m_Holders.find(Entry.m_Successor);
    if (Successor != m_Holders.end() &&
        Successor->second.m_Layers == Entry.m_Card.m_Layers)
      return true;
    Entry.m_Successor.clear();
    return false;
  };
  m_Vacancies.erase(
      std::remove_if(m_Vacancies.begin(), m_Vacancies.end(), IsFilled),
      m_Vacancies.end());
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
SuccessionPlanner::findPredecessor(const PlacementCard &New) const {
  std::vector<const PlacementCard *> Candidates;
  for (const auto &[Endpoint, Card] : m_Holders) {
    const PlacementCard &Holder = Card;
    bool IsCopied =
        std::any_of(m_Copies.begin(), m_Copies.end(), [&](const auto &Copy) {
          return Copy.second.m_FailureDomain == Holder.m_FailureDomain &&
                 Copy.second.m_Layers == Holder.m_Layers;
        });
    if (!IsCopied && isSameKind(Holder, New))
      Candidates.push_back(&Holder);
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
    Orders.push_back({Card.m_Endpoint, Layers});
  };
  for (Vacancy &Entry : m_Vacancies) {
    if (!Entry.m_Successor.empty())
      continue;
    PlacementCard *Successor = findSuccessor(Model, Cards, Entry.m_Card);
    if (!Successor)
      continue;
    Entry.m_Successor = Successor->m_Endpoint;
    Order(*Successor, Entry.m_Card.m_Layers);
  }
  for (PlacementCard &Card : Cards) {
    if (!Card.isEmpty() || Card.m_IsBusy)
      continue;
    if (const PlacementCard *Predecessor = findPredecessor(Card)) {
      Order(Card, Predecessor->m_Layers);
      m_Copies[Card.m_Endpoint] = Card;
      continue;
    }
    Card.m_IsReserved = Now - m_EmptySince[Card.m_Endpoint] < ReplacementDelay;
  }
  return Orders;
}

} // namespace parsleyring
