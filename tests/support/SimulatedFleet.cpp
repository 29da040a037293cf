#include "support/SimulatedFleet.h"

#include <algorithm>

namespace parsleyring {

SimulatedFleet::SimulatedFleet(const EngineModel &Model,
                               const std::vector<FleetTable::Handle> &Engines)
    : m_Model(Model) {
  for (const FleetTable::Handle &Endpoint : Engines) {
    Endpoint->m_ListedAt = m_Now - std::chrono::seconds(60);
    m_Domains.insert(Endpoint->m_Entry.m_FailureDomain);
    Engine Added;
    Added.m_Endpoint = Endpoint;
    m_Engines.push_back(std::move(Added));
  }
}

void SimulatedFleet::addCopy(const FleetEndpoint &Former) {
  auto Endpoint = std::make_shared<FleetEndpoint>();
  Endpoint->m_Entry = Former.m_Entry;
  Endpoint->m_Entry.m_Id = "new" + std::to_string(++m_Added);
  Endpoint->m_Entry.m_Layers = {};
  Endpoint->m_Entry.m_State = EndpointState::Ready;
  Endpoint->m_ListedAt = m_Now;
  Engine Added;
  Added.m_Endpoint = Endpoint;
  m_Engines.push_back(std::move(Added));
}

void SimulatedFleet::remove(const FleetTable::Handle &Former) {
  m_Engines.erase(std::find_if(
      m_Engines.begin(), m_Engines.end(),
      [&](const Engine &Member) { return Member.m_Endpoint == Former; }));
}

void SimulatedFleet::crash(const FleetTable::Handle &Crashed, bool IsDetected) {
  for (Engine &Member : m_Engines)
    if (Member.m_Endpoint == Crashed) {
      Member.m_CrashedAt = m_Now;
      Member.m_IsDetected = IsDetected;
    }
}

void SimulatedFleet::restart(const FleetTable::Handle &Crashed) {
  auto Endpoint = std::make_shared<FleetEndpoint>();
  Endpoint->m_Entry = Crashed->m_Entry;
  Endpoint->m_Entry.m_Layers = {};
  Endpoint->m_Entry.m_StartTimeMs += 1;
  Endpoint->m_ListedAt = m_Now;
  Engine Restarted;
  Restarted.m_Endpoint = Endpoint;
  auto Known = std::find_if(
      m_Engines.begin(), m_Engines.end(),
      [&](const Engine &Member) { return Member.m_Endpoint == Crashed; });
  if (Known != m_Engines.end())
    *Known = std::move(Restarted);
  else
    m_Engines.push_back(std::move(Restarted));
}

void SimulatedFleet::run(Duration Length) {
  for (Time End = m_Now + Length; m_Now < End; m_Now += Tick)
    step();
}

std::vector<std::pair<std::uint32_t, std::uint32_t>>
SimulatedFleet::ranges(const std::string &Domain) const {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Result;
  for (const Engine &Member : m_Engines)
    if (Member.m_Endpoint->m_Entry.m_FailureDomain == Domain)
      Result.emplace_back(Member.m_Endpoint->m_Entry.m_Layers.m_First,
                          Member.m_Endpoint->m_Entry.m_Layers.m_End);
  std::sort(Result.begin(), Result.end());
  return Result;
}

void SimulatedFleet::updateEngines() {
  for (auto Member = m_Engines.begin(); Member != m_Engines.end();) {
    if (Member->isCrashed()) {
      if (m_Now - Member->m_CrashedAt >= EntryLifetime) {
        Member = m_Engines.erase(Member);
        continue;
      }
      if (Member->m_IsDetected && m_Now - Member->m_CrashedAt >= DetectionTime)
        Member->m_Endpoint->m_SuspectUntil =
            Member->m_CrashedAt + DetectionTime + std::chrono::seconds(4);
    } else if (Member->m_IsLoading && m_Now >= Member->m_LoadedAt) {
      Member->m_Endpoint->m_Entry.m_Layers = Member->m_Ordered;
      Member->m_IsLoading = false;
    }
    ++Member;
  }
}

void SimulatedFleet::step() {
  updateEngines();
  std::vector<FleetTable::Handle> Endpoints;
  for (const Engine &Member : m_Engines)
    Endpoints.push_back(Member.m_Endpoint);
  for (const PlacementOrder &Order :
       m_Controller.tick(m_Model, Endpoints, m_Now))
    carryOut(Order);
  for (const std::string &Domain : m_Domains) {
    for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
      noteHolder(Domain, Layer);
    if (hasPath(Domain))
      m_HadPathAt[Domain] = m_Now;
    else if (m_HadPathAt.count(Domain))
      m_LongestTimeWithoutPath =
          std::max(m_LongestTimeWithoutPath, m_Now - m_HadPathAt[Domain]);
  }
}

void SimulatedFleet::carryOut(const PlacementOrder &Order) {
  for (Engine &Member : m_Engines) {
    EndpointEntry &Entry = Member.m_Endpoint->m_Entry;
    if (Entry.m_Id != Order.m_Endpoint)
      continue;
    if (Member.isCrashed()) {
      m_Controller.noteUnanswered(Order.m_Endpoint, m_Now);
      return;
    }
    if (Member.m_IsLoading || Entry.m_State != EndpointState::Ready) {
      ++m_RefusedOrders;
      m_Controller.noteRefused(Order.m_Endpoint, m_Now);
      return;
    }
    double Count = Order.m_Layers.m_End - Order.m_Layers.m_First;
    const LayerRange &Held = Entry.m_Layers;
    bool IsMove =
        Held.m_End > Held.m_First && (Order.m_Layers.m_First >= Held.m_End ||
                                      Held.m_First >= Order.m_Layers.m_End);
    Member.m_Ordered = Order.m_Layers;
    Member.m_IsLoading = true;
    Member.m_LoadedAt =
        m_Now + (IsMove ? m_DrainTime : Duration{}) +
        Duration(static_cast<std::int64_t>(m_Model.m_LoadMilliseconds * 1000 *
                                           Count / m_Model.m_Layers));
  }
}

bool SimulatedFleet::isHeld(const std::string &Domain,
                            std::uint32_t Layer) const {
  return std::any_of(
      m_Engines.begin(), m_Engines.end(), [&](const Engine &Member) {
        const EndpointEntry &Entry = Member.m_Endpoint->m_Entry;
        return !Member.isCrashed() && Entry.m_FailureDomain == Domain &&
               Entry.m_State == EndpointState::Ready &&
               Entry.m_Layers.m_First <= Layer && Layer < Entry.m_Layers.m_End;
      });
}

bool SimulatedFleet::hasPath(const std::string &Domain) const {
  for (std::uint32_t Layer = 0; Layer < m_Model.m_Layers; ++Layer)
    if (!isHeld(Domain, Layer))
      return false;
  return true;
}

void SimulatedFleet::noteHolder(const std::string &Domain,
                                std::uint32_t Layer) {
  Time &HeldAt = m_HeldAt[{Domain, Layer}];
  if (HeldAt == Time{} || isHeld(Domain, Layer))
    HeldAt = m_Now;
  m_LongestGap = std::max(m_LongestGap, m_Now - HeldAt);
}

} // namespace parsleyring
