#ifndef PARSLEYRING_STORE_STOREPROTOCOL_H
#define PARSLEYRING_STORE_STOREPROTOCOL_H

#include "parsleyring/Types.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace parsleyring {

/// A key of the store, its value and the revision of its last change.
struct StoreItem {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Revision = 0;
  bool m_IsDeleted = false;
};

/// A point in the history of the store. The store begins a new era with each
/// restoration from an older copy, and then gives revisions out again, so that
/// revisions of different eras cannot be compared.
struct StoreVersion {
  std::uint64_t m_Era = 0; ///< 0 if unknown.
  std::uint64_t m_Revision = 0;

  bool operator==(const StoreVersion &Other) const {
    return m_Era == Other.m_Era && m_Revision == Other.m_Revision;
  }
  bool operator!=(const StoreVersion &Other) const { return !(*this == Other); }
  bool operator<(const StoreVersion &Other) const {
    return std::tie(m_Era, m_Revision) <
           std::tie(Other.m_Era, Other.m_Revision);
  }
  bool operator<=(const StoreVersion &Other) const { return !(Other < *this); }
};

/// True if Key begins with Prefix, as all keys of one kind do.
inline bool hasPrefix(std::string_view Key, std::string_view Prefix) {
  return Key.substr(0, Prefix.size()) == Prefix;
}

/// One page of items or changes, as of a revision of the store.
struct StorePage {
  std::vector<StoreItem> m_Items;
  bool m_HasMore = false;
  std::uint64_t m_Revision = 0;
};

/// A write of one key, conditional if m_ExpectedRevision is set.
struct StorePut {
  std::string m_Key;
  std::string m_Value;
  std::optional<std::uint64_t> m_ExpectedRevision; ///< 0: key must not exist.
  std::uint64_t m_Lease = 0;
};

/// An HTTP request to the store.
struct StoreCall {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
};

/// Encodes the calls to a store of some kind and parses its answers. Parsers
/// return nullopt for malformed answers.
class StoreProtocol {
public:
  virtual ~StoreProtocol() = default;
  /// Requests a page of the items with key prefix Prefix, from after key After.
  virtual StoreCall rangeCall(const std::string &Prefix,
                              const std::string &After) const = 0;
  /// Requests the changes after Revision; the store waits up to Wait for one.
  virtual StoreCall watchCall(const std::string &Prefix, std::uint64_t Revision,
                              Duration Wait) const = 0;
  virtual StoreCall putCall(const StorePut &Put) const = 0;
  virtual StoreCall removeCall(const std::string &Key) const = 0;
  virtual StoreCall grantCall(Duration TimeToLive) const = 0;
  virtual StoreCall renewCall(std::uint64_t Lease) const = 0;
  virtual StoreCall revokeCall(std::uint64_t Lease) const = 0;
  /// Name of the header field with the number of the era, in all answers.
  virtual const std::string &eraHeader() const = 0;
  virtual std::optional<StorePage> parsePage(const std::string &Body) const = 0;
  virtual std::optional<StorePage>
  parseChanges(const std::string &Body) const = 0;
  virtual std::optional<std::uint64_t>
  parseLease(const std::string &Body) const = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_STOREPROTOCOL_H
