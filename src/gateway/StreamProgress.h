#ifndef PARSLEYRING_GATEWAY_STREAMPROGRESS_H
#define PARSLEYRING_GATEWAY_STREAMPROGRESS_H

#include "parsleyring/Types.h"

#include <cstdint>

namespace parsleyring {

/// The events that a stream's caller has got, over all attempts.
struct StreamProgress {
  std::uint64_t m_LastEventId = 0;
  Time m_LastProgressAt{};
  double m_MeanEventGapMs = 0; ///< Moving mean.
  double m_LongestPauseMs = 0;
  Duration m_FirstEventTime{};
  int m_Events = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMPROGRESS_H
