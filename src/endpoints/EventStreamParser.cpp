#include "endpoints/EventStreamParser.h"

namespace parsleyring {

EventStreamParser::Status EventStreamParser::processLine() {
  if (m_Line.empty()) {
    bool ShouldContinue = !m_HasData || m_OnEvent(m_Data);
    m_Data.clear();
    m_HasData = false;
    return ShouldContinue ? Status::Ok : Status::Stopped;
  }
  static constexpr std::string_view Field = "data:";
  if (m_Line.compare(0, Field.size(), Field) == 0) {
    std::string_view Value = std::string_view(m_Line).substr(Field.size());
    if (!Value.empty() && Value.front() == ' ')
      Value.remove_prefix(1);
    if (m_HasData)
      m_Data += '\n';
    m_Data += Value;
    m_HasData = true;
  }
  m_Line.clear();
  return m_Data.size() > MaxBytes ? Status::TooLong : Status::Ok;
}

EventStreamParser::Status EventStreamParser::feed(std::string_view Chunk) {
  for (char Byte : Chunk) {
    // Lines end with CR, LF or CR LF.
    bool IsLineFeedOfPair = Byte == '\n' && m_IsAfterCarriageReturn;
    m_IsAfterCarriageReturn = Byte == '\r';
    if (IsLineFeedOfPair)
      continue;
    if (Byte != '\n' && Byte != '\r') {
      if (m_Line.size() >= MaxBytes)
        return Status::TooLong;
      m_Line += Byte;
      continue;
    }
    if (Status Result = processLine(); Result != Status::Ok)
      return Result;
  }
  return Status::Ok;
}

} // namespace parsleyring
