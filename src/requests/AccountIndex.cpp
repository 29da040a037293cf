#include "requests/AccountIndex.h"

namespace parsleyring {

void AccountIndex::apply(const Document &Configuration) {
  m_ByKeyHash.clear();
  m_ByName.clear();
  m_ByKeyHash.reserve(Configuration.m_Accounts.size());
  m_ByName.reserve(Configuration.m_Accounts.size());
  for (const ClientAccount &Account : Configuration.m_Accounts) {
    m_ByName.emplace(Account.m_Name, &Account);
    for (const std::string &Hash : Account.m_KeySha256)
      m_ByKeyHash.emplace(Hash, &Account);
  }
}

const ClientAccount *AccountIndex::byKeyHash(std::string_view KeySha256) const {
  auto Entry = m_ByKeyHash.find(KeySha256);
  return Entry == m_ByKeyHash.end() ? nullptr : Entry->second;
}

const ClientAccount *AccountIndex::byName(std::string_view Name) const {
  auto Entry = m_ByName.find(Name);
  return Entry == m_ByName.end() ? nullptr : Entry->second;
}

} // namespace parsleyring
