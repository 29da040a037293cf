#include "parsleyring/Document.h"

#include <algorithm>

namespace parsleyring {

template <typename Entry>
static const Entry *findByName(const std::vector<Entry> &Entries,
                               std::string_view Name) {
  for (const Entry &Candidate : Entries)
    if (Candidate.m_Name == Name)
      return &Candidate;
  return nullptr;
}

const ClientAccount *
Document::accountByKeyHash(std::string_view KeySha256) const {
  for (const ClientAccount &Account : m_Accounts)
    for (const std::string &Hash : Account.m_KeySha256)
      if (Hash == KeySha256)
        return &Account;
  return nullptr;
}

const Pipeline *Document::pipeline(std::string_view Name) const {
  return findByName(m_Pipelines, Name);
}

const Pool *Document::pool(std::string_view Name) const {
  return findByName(m_Pools, Name);
}

bool Document::isIdempotent(std::string_view Pool, std::string_view Method,
                            std::string_view Path) const {
  auto Matches = [&](const IdempotencyRule &Candidate) {
    return Candidate.m_Pool == Pool &&
           (Candidate.m_Method == "*" || Candidate.m_Method == Method) &&
           Path.substr(0, Candidate.m_Path.size()) == Candidate.m_Path;
  };
  auto Found = std::find_if(m_Rules.begin(), m_Rules.end(), Matches);
  return Found == m_Rules.end() || Found->m_IsIdempotent;
}

} // namespace parsleyring
