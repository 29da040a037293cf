#ifndef PARSLEYRING_AUDIT_REPLAYER_H
#define PARSLEYRING_AUDIT_REPLAYER_H

#include "audit/TraceCodec.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace parsleyring {

/// A record that the replay does not reproduce, or that cannot be replayed.
struct ReplayDifference {
  std::size_t m_Line = 0; ///< 1-based.
  std::string m_Message;
};

struct ReplayReport {
  std::uint64_t m_Events = 0;
  std::uint64_t m_Decisions = 0; ///< Recorded decisions that were compared.
  std::vector<ReplayDifference> m_Differences;
  /// All differences, including those beyond MaxDifferences.
  std::uint64_t m_DifferenceCount = 0;

  static constexpr std::size_t MaxDifferences = 100;
};

/// Feeds the recorded events of a trace to new Routers, one for each
/// incarnation of a VM, and compares their decisions with the recorded ones.
class Replayer {
public:
  explicit Replayer(const TraceCodec &Codec) : m_Codec(Codec) {}

  ReplayReport run(std::istream &Trace) const;

private:
  const TraceCodec &m_Codec;
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_REPLAYER_H
