#include "core/Base64.h"

#include <openssl/evp.h>

namespace parsleyring {

std::string encodeBase64(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(Length);
  return Text;
}

std::optional<std::string> decodeBase64(const std::string &Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts the padding as decoded bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(Length - Padding);
  return Bytes;
}

} // namespace parsleyring
