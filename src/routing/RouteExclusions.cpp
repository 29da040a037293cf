#include "routing/RouteExclusions.h"

#include "core/NameTable.h"

#include <algorithm>

namespace parsleyring {

/// Limits the size of the audit record for a large pool. The limit is per
/// reason, so that a saturated pool does not hide the rarer reasons.
static constexpr std::size_t MaxShownPerReason = 8;

static constexpr std::size_t ReasonCount = 8;

static constexpr NameTable<ExclusionReason, ReasonCount> ReasonNames{
    {"leaving", "quarantined", "unavailable", "other-layers",
     "unreachable-domain", "failed-before", "no-free-slot", "no-onward-route"}};

std::string_view name(ExclusionReason Value) { return ReasonNames.name(Value); }

/// Why the graph has no option for the endpoint.
static ExclusionReason missingOptionReason(Time Now, const Endpoint &Member) {
  if (Member.m_IsLeaving)
    return ExclusionReason::Leaving;
  if (Member.m_Health.isQuarantined(Now))
    return ExclusionReason::Quarantined;
  if (!Member.m_Health.canServe(Now))
    return ExclusionReason::Unavailable;
  return ExclusionReason::OtherLayers;
}

/// Why the option was not usable with the filter.
static ExclusionReason unusableOptionReason(const StageOption &Option,
                                            const StageFilter &Filter) {
  if (Option.m_IsStallQuarantined && !Filter.m_AllowsStallQuarantined)
    return ExclusionReason::Quarantined;
  if (!Option.m_Endpoint->m_IsDomainReachable && !Filter.m_AllowsUnreachable)
    return ExclusionReason::UnreachableDomain;
  if (Option.m_FailedBefore && !Filter.m_AllowsFailedBefore)
    return ExclusionReason::FailedBefore;
  if (!Option.m_HasFreeSlot && Filter.m_NeedsFreeSlot)
    return ExclusionReason::NoFreeSlot;
  return ExclusionReason::NoOnwardRoute;
}

std::vector<RouteExclusion>
routeExclusions(Time Now, const std::vector<Endpoint *> &Members,
                const StageGraph &Graph, const StageFilter &Filter) {
  std::vector<RouteExclusion> Result;
  std::size_t Shown[ReasonCount] = {};
  auto Add = [&](const Endpoint &Member, ExclusionReason Reason) {
    if (Shown[static_cast<std::size_t>(Reason)]++ < MaxShownPerReason)
      Result.push_back({Member.m_Spec.m_Name, Reason});
  };
  // Members, options and usable options are in the same order.
  const std::vector<StageOption> &Options = Graph.options();
  std::size_t Option = 0;
  auto Usable = Graph.usable().begin();
  for (std::size_t Position = 0; Position < Members.size(); ++Position) {
    const Endpoint &Member = *Members[Position];
    if (Option == Options.size() || Options[Option].m_Position != Position) {
      Add(Member, missingOptionReason(Now, Member));
      continue;
    }
    if (Usable != Graph.usable().end() && *Usable == Option)
      ++Usable;
    else
      Add(Member, unusableOptionReason(Options[Option], Filter));
    ++Option;
  }
  return Result;
}

} // namespace parsleyring
