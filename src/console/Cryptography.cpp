#include "console/Cryptography.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace parsleyring {

static const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

std::string hmacSha256Hex(std::string_view Secret, std::string_view Message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest;
  unsigned Length = 0;
  if (!::HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
              bytesOf(Message), Message.size(), Digest.data(), &Length))
    throw std::runtime_error("HMAC-SHA256 failed");
  return toHex({reinterpret_cast<const char *>(Digest.data()), Length});
}

bool isEqualInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  if (::RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                   static_cast<int>(Count)) != 1)
    throw std::runtime_error("no random bytes from the operating system");
  return Bytes;
}

std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * Bytes.size());
  for (char Each : Bytes) {
    auto Code = static_cast<unsigned char>(Each);
    Hex += Digits[Code >> 4];
    Hex += Digits[Code & 15];
  }
  return Hex;
}

static unsigned hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return static_cast<unsigned>(Digit - '0');
  return static_cast<unsigned>((Digit | 0x20) - 'a') + 10;
}

std::string fromHex(std::string_view Text) {
  std::string Bytes;
  Bytes.reserve(Text.size() / 2);
  for (std::size_t At = 0; At + 1 < Text.size(); At += 2)
    Bytes +=
        static_cast<char>(hexDigit(Text[At]) * 16 + hexDigit(Text[At + 1]));
  return Bytes;
}

} // namespace parsleyring
