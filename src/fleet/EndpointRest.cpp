#include "fleet/EndpointRest.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>
#include <string>

namespace parsleyring {

std::optional<Time> EndpointRest::parseDate(std::string_view Text) {
  // The three formats of RFC 9110, of which senders use the first one.
  static constexpr const char *Formats[] = {"%a, %d %b %Y %H:%M:%S GMT",
                                            "%A, %d-%b-%y %H:%M:%S GMT",
                                            "%a %b %d %H:%M:%S %Y"};
  for (const char *Format : Formats) {
    std::tm Fields{};
    std::istringstream Stream{std::string(Text)};
    Stream.imbue(std::locale::classic());
    Stream >> std::get_time(&Fields, Format);
    if (Stream.fail() ||
        Stream.peek() != std::istringstream::traits_type::eof())
      continue;
    std::time_t Seconds = timegm(&Fields);
    return Time(std::chrono::seconds(Seconds));
  }
  return std::nullopt;
}

std::optional<Duration> EndpointRest::parse(std::string_view Text,
                                            Time AnsweredAt) {
  double Seconds = 0;
  // Excludes signs and the names of infinite numbers, which from_chars() reads.
  if (!Text.empty() && std::isdigit(static_cast<unsigned char>(Text.front()))) {
    const char *TextEnd = Text.data() + Text.size();
    auto [End, Error] = std::from_chars(Text.data(), TextEnd, Seconds,
                                        std::chars_format::fixed);
    if (Error != std::errc() || End != TextEnd)
      return std::nullopt;
  } else {
    std::optional<Time> Date = parseDate(Text);
    if (!Date)
      return std::nullopt;
    Seconds = std::chrono::duration<double>(*Date - AnsweredAt).count();
  }
  double MaxSeconds = std::chrono::duration<double>(MaxStated).count();
  Duration Rest(static_cast<std::int64_t>(std::min(Seconds, MaxSeconds) * 1e6));
  return Rest > Duration::zero() ? std::optional<Duration>(Rest) : std::nullopt;
}

// Requests that are rejected at the same time may state different times; each
// of them holds.
bool EndpointRest::noteStated(Duration Stated, Time Now) {
  bool IsNew = Now >= m_StatedUntil;
  if (IsNew)
    m_Tests = 0;
  m_StatedAt = Now;
  m_StatedUntil = std::max(m_StatedUntil, Now + Stated);
  m_Until = m_Tests < MaxTests ? std::min(m_StatedUntil, Now + MaxUntested)
                               : m_StatedUntil;
  m_IsEndPending = true;
  return IsNew;
}

void EndpointRest::noteSent(Time Now) {
  if (Now >= m_StatedUntil)
    return;
  ++m_Tests;
  m_Until = m_Tests < MaxTests ? std::min(m_StatedUntil, Now + MaxUntested)
                               : m_StatedUntil;
}

// Requests that were sent before the rest began may still be answered.
void EndpointRest::noteAccepted(Time SentAt, Time Now) {
  if (Now < m_StatedUntil && SentAt > m_StatedAt)
    m_Until = m_StatedUntil = Now;
}

bool EndpointRest::takeEnd(Time Now) {
  if (!m_IsEndPending || Now < m_StatedUntil)
    return false;
  m_IsEndPending = false;
  return true;
}

} // namespace parsleyring
