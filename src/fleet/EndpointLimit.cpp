#include "fleet/EndpointLimit.h"

#include <cctype>
#include <charconv>

namespace parsleyring {

std::optional<double> EndpointLimit::parseRate(std::string_view Text) {
  // Excludes signs and the names of infinite numbers, which from_chars() reads.
  if (Text.empty() || !std::isdigit(static_cast<unsigned char>(Text.front())))
    return std::nullopt;
  double Rate = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Error] =
      std::from_chars(Text.data(), TextEnd, Rate, std::chars_format::fixed);
  if (Error != std::errc() || End != TextEnd)
    return std::nullopt;
  return Rate;
}

bool EndpointLimit::noteStated(double RequestsPerSecond, Time Now) {
  bool IsNew = m_Rate != RequestsPerSecond;
  m_Rate = RequestsPerSecond;
  m_StatedAt = Now;
  return IsNew;
}

// Answers overtake each other on different connections: only a request that was
// sent after the last statement tells that there is none any more.
bool EndpointLimit::noteNotStated(Time SentAt) {
  if (!m_Rate || SentAt <= m_StatedAt)
    return false;
  m_Rate.reset();
  return true;
}

} // namespace parsleyring
