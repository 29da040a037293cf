#include "gateway/RequestFingerprint.h"

#include <openssl/evp.h>

#include <memory>
#include <stdexcept>

namespace parsleyring {

// Enough that no two requests have the same one by accident.
static constexpr std::size_t FingerprintBytes = 16;

std::string requestFingerprint(const CallerRequest &Request,
                               const std::string &Account,
                               const std::string &PromptParts) {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  if (!Context || !EVP_DigestInit_ex(Context.get(), EVP_sha256(), nullptr))
    throw std::runtime_error("SHA-256 is not available");
  // The lengths keep different requests from being the same sequence of bytes.
  auto Add = [&Context](const std::string &Text) {
    std::string Length = std::to_string(Text.size()) + ":";
    EVP_DigestUpdate(Context.get(), Length.data(), Length.size());
    EVP_DigestUpdate(Context.get(), Text.data(), Text.size());
  };
  Add(Account);
  Add(Request.m_Method);
  Add(Request.field("Host"));
  // Repetitions may differ in their query.
  Add(Request.m_Target.substr(0, Request.m_Target.find('?')));
  Add(Request.m_Body);
  if (!PromptParts.empty())
    Add(PromptParts);
  unsigned char Digest[EVP_MAX_MD_SIZE];
  EVP_DigestFinal_ex(Context.get(), Digest, nullptr);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Fingerprint;
  for (std::size_t Index = 0; Index < FingerprintBytes; ++Index) {
    Fingerprint += Digits[Digest[Index] >> 4];
    Fingerprint += Digits[Digest[Index] & 15];
  }
  return Fingerprint;
}

} // namespace parsleyring
