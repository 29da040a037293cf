#include "console/PasswordHash.h"

#include "console/Cryptography.h"
#include "core/TextChecks.h"

#include <openssl/evp.h>

#include <charconv>
#include <stdexcept>

namespace parsleyring {

static constexpr std::string_view Scheme = "pbkdf2-sha256$";
static constexpr std::size_t SaltBytes = 16;
static constexpr std::size_t HashBytes = 32;

static std::string deriveKey(std::string_view Password, std::string_view Salt,
                             std::uint32_t Rounds) {
  std::string Hash(HashBytes, '\0');
  if (::PKCS5_PBKDF2_HMAC(Password.data(), static_cast<int>(Password.size()),
                          reinterpret_cast<const unsigned char *>(Salt.data()),
                          static_cast<int>(Salt.size()),
                          static_cast<int>(Rounds), EVP_sha256(), HashBytes,
                          reinterpret_cast<unsigned char *>(Hash.data())) != 1)
    throw std::runtime_error("PBKDF2 failed");
  return Hash;
}

std::string hashPassword(std::string_view Password, std::uint32_t Rounds) {
  std::string Salt = randomBytes(SaltBytes);
  return std::string(Scheme) + std::to_string(Rounds) + "$" + toHex(Salt) +
         "$" + toHex(deriveKey(Password, Salt, Rounds));
}

bool verifyPassword(std::string_view Password, std::string_view Hash) {
  if (Hash.substr(0, Scheme.size()) != Scheme)
    return false;
  Hash.remove_prefix(Scheme.size());
  std::size_t SaltAt = Hash.find('$');
  std::size_t HashAt = Hash.rfind('$');
  if (SaltAt == std::string_view::npos || HashAt == SaltAt)
    return false;
  std::uint32_t Rounds = 0;
  auto Read = std::from_chars(Hash.data(), Hash.data() + SaltAt, Rounds);
  if (Read.ptr != Hash.data() + SaltAt || Rounds == 0 || Rounds > INT32_MAX)
    return false;
  std::string_view Salt = Hash.substr(SaltAt + 1, HashAt - SaltAt - 1);
  std::string_view Expected = Hash.substr(HashAt + 1);
  if (!isHex(Salt) || !isHex(Expected))
    return false;
  return isEqualInConstantTime(deriveKey(Password, fromHex(Salt), Rounds),
                               fromHex(Expected));
}

} // namespace parsleyring
