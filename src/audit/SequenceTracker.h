#ifndef PARSLEYRING_AUDIT_SEQUENCETRACKER_H
#define PARSLEYRING_AUDIT_SEQUENCETRACKER_H

#include "parsleyring/Types.h"

#include <map>
#include <vector>

namespace parsleyring {

/// A range of missing records of one incarnation of a VM.
struct SequenceGap {
  std::uint64_t m_First = 0;
  std::uint64_t m_Last = 0;
  std::optional<Time> m_After; ///< Empty if no record precedes the gap.
  Time m_Before;
};

/// Collects the sequence numbers of one incarnation of a VM, in any order.
/// Memory use grows with the number of gaps, not of records.
class SequenceTracker {
public:
  /// Returns false if the number was added before.
  bool add(std::uint64_t Sequence, Time At);
  std::vector<SequenceGap> gaps() const;

private:
  struct Run {
    std::uint64_t m_Last = 0;
    Time m_FirstAt;
    Time m_LastAt;
  };

  std::map<std::uint64_t, Run> m_Runs; ///< Keyed by the first number.
};

} // namespace parsleyring

#endif // PARSLEYRING_AUDIT_SEQUENCETRACKER_H
