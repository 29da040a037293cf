#ifndef PARSLEYRING_ROUTING_ROUTEPLANNER_H
#define PARSLEYRING_ROUTING_ROUTEPLANNER_H

#include "parsleyring/Events.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyring {

/// Request for which a route is planned.
struct RouteQuery {
  std::string m_Pool;
  /// Layers of the model; 0 for a plain service, whose route is one stage.
  std::uint32_t m_Layers = 0;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;
  std::vector<std::uint64_t> m_PrefixHashes;
  /// Endpoints that have failed this request; used only if no route without
  /// them covers the layers.
  std::vector<std::string> m_Avoid;
};

struct RouteCandidate {
  std::string m_Endpoint;
  double m_EstimateMicros = 0;
  LayerRange m_Layers = {}; ///< [0, 1) for a plain service.
  bool m_IsStallQuarantined = false;
};

/// Why an endpoint of the pool was not a candidate.
enum class ExclusionReason {
  Leaving,
  Quarantined,
  Unavailable, ///< In backoff after connection failures, or being probed.
  OtherLayers, ///< Its layers are not within those of the model.
  UnreachableDomain,
  FailedBefore, ///< The endpoint failed this request before.
  NoFreeSlot,
  NoOnwardRoute, ///< No route leads on from where its layers end.
};

std::string_view name(ExclusionReason Value);

struct RouteExclusion {
  std::string m_Endpoint;
  ExclusionReason m_Reason = ExclusionReason::Leaving;
};

enum class PlanStatus {
  Planned,
  Saturated, ///< Routes exist, but each has a stage without a free slot.
  NoRoute,   ///< The available endpoints do not cover the layers.
};

struct RoutePlan {
  PlanStatus m_Status = PlanStatus::NoRoute;
  std::vector<Stage> m_Route; ///< Covers each layer once; empty if none.
  Duration m_EstimatedFirstToken{};
  std::string m_Strategy;
  /// Endpoints and costs that the strategy compared, for the audit record.
  std::vector<RouteCandidate> m_Candidates;
  /// The other endpoints of the pool; at most a few for each reason.
  std::vector<RouteExclusion> m_Excluded;
};

/// State of an endpoint as this VM sees it, for metrics and audit.
struct EndpointStatus {
  std::string m_Endpoint;
  std::string m_Pool;
  std::string m_Incarnation;
  std::uint32_t m_Outstanding = 0; ///< Attempts of this VM.
  double m_EstimatedRunning = 0;   ///< Requests of all VMs.
  bool m_IsLeaving = false;
  bool m_IsQuarantined = false;
  bool m_IsUnavailable = false;
};

/// Owns the endpoint and link tables and chooses routes over them. Part of the
/// deterministic core: no clock, thread or random device.
class RoutePlanner {
public:
  RoutePlanner(const std::string &OwnFailureDomain, std::uint64_t Seed);
  ~RoutePlanner();

  /// Takes over a new configuration; endpoints that stay keep their state.
  void apply(const std::shared_ptr<const Document> &Configuration);

  RoutePlan plan(Time Now, const RouteQuery &Query);

  void noteStarted(Time Now, AttemptNumber Attempt,
                   const std::vector<Stage> &Route);
  /// A valid token arrived; updates the attempt's observed token interval.
  void noteToken(Time Now, AttemptNumber Attempt);
  /// Frees the attempt's slots. A failure counts against FailedEndpoint if it
  /// is a stage of the route, otherwise against the first stage.
  void noteEnded(Time Now, AttemptNumber Attempt, AttemptResult Result,
                 const std::string &FailedEndpoint = {});
  /// Longest time without a token before the attempt counts as stalled. Valid
  /// only after the first token.
  Duration progressTimeout(AttemptNumber Attempt) const;
  /// The attempt exceeded its progress timeout. Returns the endpoints that are
  /// quarantined because of that.
  std::vector<std::string> noteStalled(Time Now, AttemptNumber Attempt);

  void noteLoad(Time Now, const LoadReported &Report);
  /// Marks the endpoint as leaving until a report of a new incarnation. An
  /// empty incarnation stands for the current one. Returns false if the
  /// endpoint was marked already.
  bool markLeaving(Time Now, const std::string &Endpoint,
                   const std::string &Incarnation);
  bool isLeaving(const std::string &Endpoint) const;
  /// The endpoint returned a wrong result. Returns how long the endpoint gets
  /// no new requests.
  Duration quarantine(Time Now, const std::string &Endpoint);
  void setUnreachableDomains(const std::vector<std::string> &Domains);

  /// Number of live routers, including this one, that share contended slots.
  void setRouterCount(std::uint32_t Routers);

  std::vector<EndpointStatus> status(Time Now) const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

/// Valid values of policy.route_strategy.
const std::vector<std::string> &routeStrategyNames();

} // namespace parsleyring

#endif // PARSLEYRING_ROUTING_ROUTEPLANNER_H
