#include "fleet/EndpointLimit.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace parsleyring {

// Several digests, so that a lost one does not hide that a limit has ended.
static constexpr Duration EndReportTime = std::chrono::seconds(5);

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
  bool IsNew = m_Newest.m_Rate != RequestsPerSecond;
  if (!m_Newest.m_Rate)
    m_KnownSince = Now;
  m_Own = m_Newest = {RequestsPerSecond, Now};
  return IsNew;
}

// Answers overtake each other on different connections: only a request that was
// sent after the last statement tells that there is none any more.
bool EndpointLimit::noteNotStated(Time SentAt) {
  if (!m_Newest.m_Rate || SentAt <= m_Newest.m_At)
    return false;
  m_Own = m_Newest = {std::nullopt, SentAt};
  return true;
}

bool EndpointLimit::apply(const LimitReport &Report, Time Now) {
  Time At = Now - Report.m_Age;
  if (At <= m_Newest.m_At)
    return false;
  bool IsNew = m_Newest.m_Rate != Report.m_Rate;
  if (!m_Newest.m_Rate)
    m_KnownSince = Now;
  m_Newest = {Report.m_Rate, At};
  return IsNew;
}

// Passing on the reports of other VMs would make a limit look newer than it is
// each time that it is passed on.
std::optional<LimitReport> EndpointLimit::ownReport(Time Now) const {
  if (m_Own.m_At == Time{} || m_Own.m_Rate != m_Newest.m_Rate)
    return std::nullopt;
  Duration Age = std::max(Duration::zero(), Duration(Now - m_Own.m_At));
  if (!m_Own.m_Rate && Age >= EndReportTime)
    return std::nullopt;
  return LimitReport{m_Own.m_Rate, Age};
}

} // namespace parsleyring
