#include "node/ConfigurationInForce.h"

namespace parsleyring {

std::optional<std::string>
ConfigurationInForce::accountName(const std::string &KeySha256) const {
  std::shared_ptr<const Document> Current = document();
  const ClientAccount *Account =
      Current ? Current->accountByKeyHash(KeySha256) : nullptr;
  return Account ? std::optional<std::string>(Account->m_Name) : std::nullopt;
}

bool ConfigurationInForce::isSameAccount(
    const std::string &KeySha256, const std::string &OtherKeySha256) const {
  std::shared_ptr<const Document> Current = document();
  if (KeySha256.empty() || OtherKeySha256.empty() || !Current)
    return false;
  const ClientAccount *Account = Current->accountByKeyHash(KeySha256);
  return Account && Account == Current->accountByKeyHash(OtherKeySha256);
}

} // namespace parsleyring
