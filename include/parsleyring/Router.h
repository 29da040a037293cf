#ifndef PARSLEYRING_ROUTER_H
#define PARSLEYRING_ROUTER_H

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Interval at which the caller of the Router sends the event Tick.
inline constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// Identity, seed and time limits of a Router.
struct RouterOptions {
  Incarnation m_Self;
  std::string m_FailureDomain;
  std::uint64_t m_Seed = 1; ///< Of the random choices of the route planner.
  Duration m_FirstTokenTimeout = std::chrono::seconds(3);
  Duration m_ClaimTimeout = std::chrono::seconds(2);
};

/// Counters of a Router since its start, for the metrics page.
struct RouterCounters {
  /// Counter name without prefix to value, for example
  /// "attempts_started" or "tokens_dropped_stale_epoch".
  std::map<std::string, std::uint64_t> m_Totals;
  std::uint64_t m_RequestsInProgress = 0;
  std::uint64_t m_RequestsQueued = 0;
  /// Outstanding requests of this VM per client account.
  std::map<std::string, std::uint32_t> m_Outstanding;
};

/// Takes all decisions about requests. Deterministic: the same options and the
/// same events at the same times give the same actions. The Router has no
/// thread, socket, clock or random device; its caller must serialize the calls.
class Router {
public:
  explicit Router(const RouterOptions &Options);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Appends the actions that follow from the event. Now must never decrease.
  void handle(Time Now, const Event &Input, std::vector<Action> &Actions);

  RouterCounters counters() const;
  /// Version of the configuration in force; 0 if there is none yet.
  ConfigurationVersion configurationVersion() const;
  bool hasRequestsInProgress() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTER_H
