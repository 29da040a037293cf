#include "console/FormData.h"

#include "console/Cryptography.h"
#include "core/TextChecks.h"

namespace parsleyring {

/// The largest form is that of a pool: a few fields, and up to ten per
/// endpoint.
static constexpr std::size_t MaxFields = 20000;
static constexpr std::size_t MaxMessageNameBytes = 64;

/// Length of the well-formed UTF-8 sequence at the start of Text; 0 if none.
static std::size_t sequenceLength(std::string_view Text) {
  auto ByteAt = [&](std::size_t At) {
    return static_cast<unsigned char>(Text[At]);
  };
  unsigned char Lead = ByteAt(0);
  if (Lead < 0x80)
    return 1;
  std::size_t Length = Lead >= 0xf0 ? 4 : Lead >= 0xe0 ? 3 : 2;
  if (Lead < 0xc2 || Lead > 0xf4 || Text.size() < Length)
    return 0;
  // Rejects overlong forms, surrogates, and code points above U+10FFFF.
  unsigned char Min = Lead == 0xe0 ? 0xa0 : Lead == 0xf0 ? 0x90 : 0x80;
  unsigned char Max = Lead == 0xed ? 0x9f : Lead == 0xf4 ? 0x8f : 0xbf;
  if (ByteAt(1) < Min || ByteAt(1) > Max)
    return 0;
  for (std::size_t At = 2; At < Length; ++At)
    if ((ByteAt(At) & 0xc0) != 0x80)
      return 0;
  return Length;
}

bool isPlainText(std::string_view Text) {
  while (!Text.empty()) {
    auto Lead = static_cast<unsigned char>(Text.front());
    bool IsControl =
        (Lead < 0x20 && Lead != '\t' && Lead != '\n' && Lead != '\r') ||
        Lead == 0x7f;
    std::size_t Length = IsControl ? 0 : sequenceLength(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

/// Name of a field for error messages.
static std::string nameForMessage(const std::string &Name) {
  if (!isPlainText(Name) || Name.size() > MaxMessageNameBytes)
    return "a field with a malformed name";
  return "field \"" + Name + "\"";
}

static bool decode(std::string_view Encoded, std::string &Decoded) {
  Decoded.reserve(Encoded.size());
  for (std::size_t At = 0; At < Encoded.size(); ++At) {
    if (Encoded[At] == '+') {
      Decoded += ' ';
    } else if (Encoded[At] != '%') {
      Decoded += Encoded[At];
    } else {
      if (At + 2 >= Encoded.size() || !isHex(Encoded.substr(At + 1, 2)))
        return false;
      Decoded += fromHex(Encoded.substr(At + 1, 2));
      At += 2;
    }
  }
  return true;
}

FormData FormData::parse(std::string_view Encoded) {
  FormData Data;
  while (!Encoded.empty()) {
    std::string_view Pair = Encoded.substr(0, Encoded.find('&'));
    Encoded.remove_prefix(std::min(Pair.size() + 1, Encoded.size()));
    if (Pair.empty())
      continue;
    std::size_t NameEnd = std::min(Pair.find('='), Pair.size());
    std::string Name;
    if (!decode(Pair.substr(0, NameEnd), Name))
      throw FormError("a field name has a malformed percent escape");
    std::string Value;
    if (NameEnd < Pair.size() && !decode(Pair.substr(NameEnd + 1), Value))
      throw FormError(nameForMessage(Name) + " has a malformed percent escape");
    if (!isPlainText(Name) || !isPlainText(Value))
      throw FormError(nameForMessage(Name) +
                      " is not UTF-8 text without control characters");
    if (Data.m_Fields.size() >= MaxFields)
      throw FormError("the form has more than " + std::to_string(MaxFields) +
                      " fields");
    if (!Data.m_Fields.emplace(Name, std::move(Value)).second)
      throw FormError(nameForMessage(Name) + " is given more than once");
  }
  return Data;
}

const std::string &FormData::value(const std::string &Name) const {
  static const std::string Empty;
  auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? Empty : Found->second;
}

const std::string &FormData::required(const std::string &Name) const {
  auto Found = m_Fields.find(Name);
  if (Found == m_Fields.end())
    throw FormError("field \"" + Name + "\" is missing");
  return Found->second;
}

} // namespace parsleyring
