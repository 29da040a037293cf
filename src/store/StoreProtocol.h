#ifndef PARSLEYRING_STORE_STOREPROTOCOL_H
#define PARSLEYRING_STORE_STOREPROTOCOL_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyring {

/// A key with its value and the revision of its last change.
struct StoreItem {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Revision = 0;
  bool m_IsDeleted = false;
};

/// Items or changes, as of a revision of the store.
struct StorePage {
  std::vector<StoreItem> m_Items;
  bool m_HasMore = false;
  std::uint64_t m_Revision = 0;
};

/// One change that takes effect only if the key has the expected revision.
struct StorePut {
  std::string m_Key;
  std::string m_Value;
  std::optional<std::uint64_t> m_ExpectedRevision; ///< 0: must not exist.
  std::uint64_t m_Lease = 0;
};

/// A call to the store, before it has a connection.
struct StoreCall {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
};

/// How a particular store spells its calls and answers. Parsers return nothing
/// for bytes that are no answer.
class StoreProtocol {
public:
  virtual ~StoreProtocol() = default;
  /// A page of the items whose keys begin with Prefix, after the key After.
  virtual StoreCall rangeCall(const std::string &Prefix,
                              const std::string &After) const = 0;
  /// Waits for changes after a revision.
  virtual StoreCall watchCall(const std::string &Prefix, std::uint64_t Revision,
                              Duration Wait) const = 0;
  virtual StoreCall putCall(const StorePut &Put) const = 0;
  virtual StoreCall grantCall(Duration TimeToLive) const = 0;
  virtual StoreCall renewCall(std::uint64_t Lease) const = 0;
  virtual StoreCall revokeCall(std::uint64_t Lease) const = 0;
  virtual std::optional<StorePage> parsePage(const std::string &Body) const = 0;
  virtual std::optional<StorePage>
  parseChanges(const std::string &Body) const = 0;
  virtual std::optional<std::uint64_t>
  parseLease(const std::string &Body) const = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREPROTOCOL_H
