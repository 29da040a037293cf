#include "core/RedactedDetail.h"

#include <algorithm>

namespace parsleyring {

static constexpr std::size_t MaxDetailBytes = 200;
/// Parse errors of the JSON library quote input after this mark; that input
/// may be part of an answer.
static constexpr std::string_view LastReadMark = "; last read:";

std::string redactedDetail(const AttemptEnded &End) {
  std::size_t Size = std::min(MaxDetailBytes, End.m_Detail.find(LastReadMark));
  // With a status other than 200 the endpoint sends "CODE: MESSAGE"; the
  // message may quote the prompt.
  if (End.m_Status != 0 && End.m_Status != 200)
    Size = std::min(Size, End.m_Detail.find(':'));
  return End.m_Detail.substr(0, Size);
}

} // namespace parsleyring
