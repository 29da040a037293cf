#include "parsleyring/Types.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <stdexcept>

namespace parsleyring {

static std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::string requestId(const Incarnation &Owner, RequestNumber Number) {
  return "req-" + Owner.m_VM + "-" + std::to_string(Owner.m_Number) + "-" +
         std::to_string(Number);
}

std::optional<OwnedId> parseOwnedId(std::string_view Prefix,
                                    std::string_view Text) {
  if (Text.substr(0, Prefix.size()) != Prefix ||
      Text.substr(Prefix.size(), 1) != "-")
    return std::nullopt;
  Text.remove_prefix(Prefix.size() + 1);
  // Parsed from the end, since the VM id may contain hyphens.
  std::size_t NumberAt = Text.rfind('-');
  if (NumberAt == std::string_view::npos || NumberAt == 0)
    return std::nullopt;
  std::size_t IncarnationAt = Text.rfind('-', NumberAt - 1);
  if (IncarnationAt == std::string_view::npos || IncarnationAt == 0)
    return std::nullopt;
  auto Number = parseNumber(Text.substr(NumberAt + 1));
  auto IncarnationNumber =
      parseNumber(Text.substr(IncarnationAt + 1, NumberAt - IncarnationAt - 1));
  if (!Number || !IncarnationNumber)
    return std::nullopt;
  return OwnedId{
      {std::string(Text.substr(0, IncarnationAt)), *IncarnationNumber},
      *Number};
}

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest;
  unsigned Length = 0;
  if (EVP_Digest(Text.data(), Text.size(), Digest.data(), &Length, EVP_sha256(),
                 nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available in OpenSSL");
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(Length * 2);
  for (unsigned Index = 0; Index < Length; ++Index) {
    Hex += Digits[Digest[Index] >> 4];
    Hex += Digits[Digest[Index] & 15];
  }
  return Hex;
}

std::string toString(const Finding &Value) {
  std::string Text = Value.m_File + ":";
  if (Value.m_Line > 0)
    Text += std::to_string(Value.m_Line) + ":";
  Text += " ";
  if (!Value.m_Key.empty())
    Text += Value.m_Key + ": ";
  return Text + Value.m_Message;
}

} // namespace parsleyring
