#ifndef PARSLEYRING_REQUESTS_ACCOUNTINDEX_H
#define PARSLEYRING_REQUESTS_ACCOUNTINDEX_H

#include "parsleyring/Document.h"

#include <string_view>
#include <unordered_map>

namespace parsleyring {

/// Finds client accounts by key hash and by name. Keeps pointers into the
/// document given to apply(), which must outlive the index.
class AccountIndex {
public:
  void apply(const Document &Configuration);

  /// Both return null if there is no such account.
  const ClientAccount *byKeyHash(std::string_view KeySha256) const;
  const ClientAccount *byName(std::string_view Name) const;

private:
  using Map = std::unordered_map<std::string_view, const ClientAccount *>;

  Map m_ByKeyHash;
  Map m_ByName;
};

} // namespace parsleyring

#endif // PARSLEYRING_REQUESTS_ACCOUNTINDEX_H
