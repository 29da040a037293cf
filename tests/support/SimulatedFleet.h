#ifndef PARSLEYRING_TESTS_SUPPORT_SIMULATEDFLEET_H
#define PARSLEYRING_TESTS_SUPPORT_SIMULATEDFLEET_H

#include "placement/PlacementController.h"
#include "support/EngineFleet.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleyring {

/// Engines whose layers a PlacementController decides. Each engine carries out
/// an order as long as loading all ordered layers takes, and serves its former
/// layers meanwhile.
class SimulatedFleet {
public:
  SimulatedFleet(const EngineModel &Model,
                 const std::vector<FleetTable::Handle> &Engines);

  Time now() const { return m_Now; }
  std::size_t size() const { return m_Engines.size(); }
  FleetTable::Handle endpoint(std::size_t Index) const {
    return m_Engines[Index].m_Endpoint;
  }
  void addCopy(const FleetEndpoint &Former);
  /// Removes the engine and its entry.
  void remove(const FleetTable::Handle &Former);
  /// Ends the engine, whose entry expires after EntryLifetime. With IsDetected,
  /// it is suspected after DetectionTime.
  void crash(const FleetTable::Handle &Crashed, bool IsDetected);
  /// Lists a crashed engine again, without layers.
  void restart(const FleetTable::Handle &Crashed);
  /// Sets how long an engine that moves waits for its requests to end before it
  /// loads the new layers.
  void setDrainTime(Duration Length) { m_DrainTime = Length; }
  void run(Duration Length);

  /// Ranges held in a failure domain, in order.
  std::vector<std::pair<std::uint32_t, std::uint32_t>>
  ranges(const std::string &Domain) const;
  int refusedOrders() const { return m_RefusedOrders; }
  /// Longest time during which a failure domain had no ready holder of a layer.
  Duration longestGap() const { return m_LongestGap; }
  /// Longest time during which a failure domain had no path over all layers,
  /// after it had one.
  Duration longestTimeWithoutPath() const { return m_LongestTimeWithoutPath; }
  bool hasPath(const std::string &Domain) const;

  static constexpr Duration Tick = std::chrono::milliseconds(80);
  static constexpr Duration EntryLifetime = std::chrono::seconds(3);
  static constexpr Duration DetectionTime = std::chrono::milliseconds(400);

private:
  struct Engine {
    FleetTable::Handle m_Endpoint;
    LayerRange m_Ordered;
    Time m_LoadedAt{};
    bool m_IsLoading = false;
    Time m_CrashedAt{}; ///< Zero if the engine runs.
    bool m_IsDetected = false;

    bool isCrashed() const { return m_CrashedAt != Time{}; }
  };

  void step();
  void updateEngines();
  void carryOut(const PlacementOrder &Order);
  void noteHolder(const std::string &Domain, std::uint32_t Layer);
  bool isHeld(const std::string &Domain, std::uint32_t Layer) const;

  const EngineModel &m_Model;
  std::vector<Engine> m_Engines;
  PlacementController m_Controller;
  std::map<std::pair<std::string, std::uint32_t>, Time> m_HeldAt;
  std::set<std::string> m_Domains;
  std::map<std::string, Time> m_HadPathAt; ///< By failure domain.
  Time m_Now{std::chrono::seconds(1000)};
  Duration m_DrainTime{};
  Duration m_LongestGap{};
  Duration m_LongestTimeWithoutPath{};
  int m_RefusedOrders = 0;
  int m_Added = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_SIMULATEDFLEET_H
