#include "console/Base64Url.h"

#include <openssl/evp.h>

#include <algorithm>

namespace parsleyring {

static constexpr std::size_t GroupBytes = 3;
static constexpr std::size_t GroupLetters = 4;
static constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string encodeBase64Url(std::string_view Bytes) {
  std::size_t Groups = (Bytes.size() + GroupBytes - 1) / GroupBytes;
  std::string Text(Groups * GroupLetters + 1, '\0'); // Plus the NUL terminator.
  ::EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    static_cast<int>(Bytes.size()));
  Text.resize((Bytes.size() * GroupLetters + GroupBytes - 1) / GroupBytes);
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  return Text;
}

std::optional<std::string> decodeBase64Url(std::string_view Text) {
  if (Text.size() % GroupLetters == 1 ||
      Text.find_first_not_of(Alphabet) != std::string_view::npos)
    return std::nullopt;
  std::string Padded(Text);
  std::replace(Padded.begin(), Padded.end(), '-', '+');
  std::replace(Padded.begin(), Padded.end(), '_', '/');
  Padded.resize(
      (Padded.size() + GroupLetters - 1) / GroupLetters * GroupLetters, '=');
  std::string Bytes(Padded.size() / GroupLetters * GroupBytes, '\0');
  int Length =
      ::EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                        reinterpret_cast<const unsigned char *>(Padded.data()),
                        static_cast<int>(Padded.size()));
  if (Length < 0)
    return std::nullopt;
  Bytes.resize(Text.size() * GroupBytes / GroupLetters);
  return Bytes;
}

} // namespace parsleyring
