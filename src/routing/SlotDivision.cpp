#include "routing/SlotDivision.h"

#include <algorithm>
#include <cmath>

namespace parsleyring {

/// Part of the slots that is divided equally between the routers.
static constexpr double EqualPart = 0.1;
/// From this load on, the endpoints of a boundary count as contended: then a
/// router does not go beyond its part even if no other endpoint is free.
static constexpr double ContendedLoad = 0.85;

void SlotDivision::apply(std::vector<StageOption> &Options) const {
  std::size_t First = 0;
  for (std::size_t Index = 1; Index <= Options.size(); ++Index)
    if (Index == Options.size() ||
        Options[Index].m_Layers.m_First != Options[First].m_Layers.m_First) {
      applyToGroup(Options, First, Index);
      First = Index;
    }
}

void SlotDivision::applyToGroup(std::vector<StageOption> &Options,
                                std::size_t First, std::size_t End) const {
  double Slots = 0;
  double Own = 0;
  double Others = 0;
  for (std::size_t Index = First; Index < End; ++Index) {
    const Endpoint &Candidate = *Options[Index].m_Endpoint;
    Slots += Candidate.m_Spec.m_Slots;
    Own += Candidate.m_Load.outstanding();
    Others += Candidate.m_Load.othersAtReport(m_Now);
  }
  double GroupShare = 0;
  double Rounding = 0;
  for (std::size_t Index = First; Index < End; ++Index) {
    StageOption &Option = Options[Index];
    const Endpoint &Candidate = *Option.m_Endpoint;
    double Part = share(Option, Own, Others);
    GroupShare += Part;
    Rounding += Candidate.m_Rounding;
    Option.m_IsOverShare =
        Candidate.m_Load.outstanding() + 1 > Part + Candidate.m_Rounding;
  }
  // The fraction of a sum of uniform numbers is uniform as well.
  Rounding -= std::floor(Rounding);
  bool IsContended =
      Own + Others >= ContendedLoad * Slots && Own + 1 > GroupShare + Rounding;
  for (std::size_t Index = First; Index < End; ++Index) {
    StageOption &Option = Options[Index];
    const Endpoint &Candidate = *Option.m_Endpoint;
    bool IsWithinSlots = !IsContended && Candidate.m_Load.requests(m_Now) <
                                             Candidate.m_Spec.m_Slots;
    Option.m_HasFreeSlot = !Candidate.m_Load.isRefusing(m_Now) &&
                           (!Option.m_IsOverShare || IsWithinSlots);
  }
}

double SlotDivision::share(const StageOption &Option, double Own,
                           double Others) const {
  const Endpoint &Candidate = *Option.m_Endpoint;
  double Slots = Candidate.m_Spec.m_Slots;
  if (!Candidate.m_Load.hasReport(m_Now))
    return Slots;
  double OwnHere = Candidate.m_Load.ownAtReport();
  double Reported = OwnHere + Candidate.m_Load.othersAtReport(m_Now);
  double Part = Reported > Slots ? OwnHere * Slots / Reported
                                 : OwnHere + (Slots - Reported) * (Own + 1) /
                                                 (Own + 1 + Others);
  // A router that is alone keeps all.
  double Mix = EqualPart * Others / (Own + 1 + Others);
  return (1 - Mix) * Part + Mix * Slots / m_Routers;
}

} // namespace parsleyring
