#ifndef PARSLEYRING_GATEWAY_STREAMPLANNER_H
#define PARSLEYRING_GATEWAY_STREAMPLANNER_H

#include "admission/LimitedWait.h"
#include "gateway/ForwardContext.h"
#include "gateway/StreamLinks.h"
#include "gateway/StreamProgress.h"
#include "gateway/StreamRequestFields.h"
#include "routing/LayerPathPlanner.h"

#include <optional>
#include <vector>

namespace parsleyring {

/// Plans the paths of one stream request, within the limits that engines state
/// and over the links between failure domains that have capacity.
class StreamPlanner {
public:
  /// The arguments must outlive this object.
  StreamPlanner(ForwardContext &Context, const ForwardJob &Job,
                const StreamRequestFields &Fields,
                const StreamProgress &Progress)
      : m_Context(Context), m_Job(Job), m_Fields(Fields), m_Progress(Progress),
        m_Links(Context, *Job.m_Service) {}

  /// Plans a path for the next attempt. OpenEngines are the first engines of
  /// open attempts; Wait is null unless the request is in the admission queue.
  LayerPath planPath(const std::vector<FleetTable::Handle> &OpenEngines,
                     const LimitedWait *Wait);
  /// Plans a replacement of the part Index of Path, of which NewPath replaces
  /// the parts before it.
  LayerPath planReplacement(const LayerPath &Path, std::size_t Index,
                            const LayerPath &NewPath);
  void exclude(const FleetTable::Handle &Endpoint);
  /// The next attempt counts in the demand again.
  void noteSent() { m_IsDemandCounted = false; }

  /// Only limits of engines kept the last attempt from being sent.
  bool isLimited() const { return m_IsLimited; }
  LimitedCapacity limitedCapacity() const;
  /// The links that the last plan crosses, and those that kept it from a path.
  StreamLinks &links() { return m_Links; }
  /// When there is a path, if engines at rest are all that is missing.
  std::optional<Time> restEnd() const;
  /// Tokens of the prompt and of the answer that is left.
  double tokens() const { return m_Fields.m_PromptTokens + answerTokensLeft(); }

private:
  double answerTokensLeft() const;
  LayerPath planWithinLinks(const PathQuery &Query);
  PathQuery pathQuery() const;
  std::vector<FleetTable::Handle> firstEngines() const;
  bool mayBegin(FleetEndpoint &Engine, const LimitedWait *Wait) const;
  void noteDemand(const LayerPath &Path);

  ForwardContext &m_Context;
  const ForwardJob &m_Job;
  const StreamRequestFields &m_Fields;
  const StreamProgress &m_Progress;

  StreamLinks m_Links;
  /// Endpoints that failed or were suspect; used in new paths only if there is
  /// no other one.
  std::vector<FleetTable::Handle> m_ExcludedEndpoints;
  bool m_IsLimited = false;
  /// The next attempt is counted in the demand for the engine that it needs.
  bool m_IsDemandCounted = false;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMPLANNER_H
