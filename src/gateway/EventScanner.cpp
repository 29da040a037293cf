#include "gateway/EventScanner.h"

#include <algorithm>
#include <charconv>

namespace parsleyring {

static std::optional<std::uint64_t> eventId(std::string_view Event) {
  std::size_t Start = 0;
  while (Start < Event.size()) {
    std::size_t End = Event.find('\n', Start);
    if (End == std::string_view::npos)
      End = Event.size();
    std::string_view Line = Event.substr(Start, End - Start);
    Start = End + 1;
    if (Line.substr(0, 3) != "id:")
      continue;
    Line.remove_prefix(3);
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    while (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    std::uint64_t Id = 0;
    auto [Last, Error] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Error == std::errc() && Last == Line.data() + Line.size())
      return Id;
  }
  return std::nullopt;
}

void EventScanner::add(std::string_view Bytes) { m_Pending.append(Bytes); }

void EventScanner::clear() {
  m_Pending.clear();
  m_Searched = 0;
}

std::optional<EventScanner::Event> EventScanner::next() {
  std::size_t End = m_Pending.find("\n\n", m_Searched);
  std::size_t Length = 2;
  std::size_t CrlfEnd = m_Pending.find("\r\n\r\n", m_Searched);
  if (CrlfEnd != std::string::npos &&
      (End == std::string::npos || CrlfEnd < End)) {
    End = CrlfEnd;
    Length = 4;
  }
  if (End == std::string::npos) {
    // An end may lie across the bytes received so far and later ones.
    m_Searched = m_Pending.size() - std::min<std::size_t>(3, m_Pending.size());
    return std::nullopt;
  }
  m_Searched = 0;
  Event Result;
  Result.m_Bytes = m_Pending.substr(0, End + Length);
  m_Pending.erase(0, End + Length);
  Result.m_Id = eventId(Result.m_Bytes);
  return Result;
}

} // namespace parsleyring
