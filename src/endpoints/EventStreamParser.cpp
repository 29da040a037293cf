#include "endpoints/EventStreamParser.h"

namespace parsleyring {

EventStreamParser::Status EventStreamParser::lineEnded() {
  if (m_Line.empty()) {
    bool IsWanted = !m_HasData || m_OnEvent(m_Data);
    m_Data.clear();
    m_HasData = false;
    return IsWanted ? Status::Ok : Status::Stopped;
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
    bool IsSecondOfPair = Byte == '\n' && m_IsAfterReturn;
    m_IsAfterReturn = Byte == '\r';
    if (IsSecondOfPair)
      continue;
    if (Byte != '\n' && Byte != '\r') {
      if (m_Line.size() >= MaxBytes)
        return Status::TooLong;
      m_Line += Byte;
      continue;
    }
    if (Status Result = lineEnded(); Result != Status::Ok)
      return Result;
  }
  return Status::Ok;
}

} // namespace parsleyring
