#include "audit/SequenceTracker.h"

namespace parsleyring {

bool SequenceTracker::add(std::uint64_t Sequence, Time At) {
  auto Next = m_Runs.upper_bound(Sequence);
  auto Extended = m_Runs.end();
  if (Next != m_Runs.begin()) {
    auto Before = std::prev(Next);
    if (Sequence <= Before->second.m_Last)
      return false;
    if (Before->second.m_Last + 1 == Sequence)
      Extended = Before;
  }
  if (Extended == m_Runs.end())
    Extended = m_Runs.insert({Sequence, {Sequence, At, At}}).first;
  Extended->second.m_Last = Sequence;
  Extended->second.m_LastAt = At;
  if (Next != m_Runs.end() && Next->first == Sequence + 1) {
    Extended->second.m_Last = Next->second.m_Last;
    Extended->second.m_LastAt = Next->second.m_LastAt;
    m_Runs.erase(Next);
  }
  return true;
}

std::vector<SequenceGap> SequenceTracker::gaps() const {
  std::vector<SequenceGap> Result;
  std::uint64_t Expected = 1;
  std::optional<Time> After;
  for (const auto &[First, Each] : m_Runs) {
    if (First > Expected)
      Result.push_back({Expected, First - 1, After, Each.m_FirstAt});
    Expected = Each.m_Last + 1;
    After = Each.m_LastAt;
  }
  return Result;
}

} // namespace parsleyring
