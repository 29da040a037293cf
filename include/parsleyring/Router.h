#ifndef PARSLEYRING_ROUTER_H
#define PARSLEYRING_ROUTER_H

#include "parsleyring/Actions.h"
#include "parsleyring/Events.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Interval of the Tick event.
inline constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// Limits of a Router that come from the settings of the VM.
struct RouterOptions {
  Incarnation m_Self;
  std::string m_FailureDomain;
  std::uint64_t m_Seed = 1;
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

/// All decisions about requests. Deterministic: the same options and the same
/// events with the same times give the same actions. It has no thread, socket,
/// clock or random device; the shell around it serializes the calls.
class Router {
public:
  explicit Router(const RouterOptions &Options);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Appends to Actions what follows from the event. Now never decreases.
  void handle(Time Now, const Event &Input, std::vector<Action> &Actions);

  RouterCounters counters() const;
  /// Version in force; 0 before the first configuration.
  ConfigurationVersion configurationVersion() const;
  bool hasRequestsInProgress() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace parsleyring

#endif // PARSLEYRING_ROUTER_H
