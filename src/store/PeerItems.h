#ifndef PARSLEYRING_STORE_PEERITEMS_H
#define PARSLEYRING_STORE_PEERITEMS_H

#include "store/StoreProtocol.h"

namespace parsleyring {

/// What a VM tells another one about the items of the store.
struct PeerItems {
  std::vector<StoreItem> m_Items;
  std::uint64_t m_Revision = 0;
  /// All items of that revision, or else the changes since the revision that
  /// was asked for.
  bool m_IsComplete = false;
  /// Since the store last answered the VM that read them.
  Duration m_Age{};

  std::string encode() const;
  /// Empty if the bytes are no such message.
  static std::optional<PeerItems> decode(const std::string &Bytes);
};

/// The call by which a VM asks another one for items after a revision. The
/// other one may wait until there are some.
struct PeerItemsCall {
  std::uint64_t m_Revision = 0;
  Duration m_Wait{};

  StoreCall call() const;
  static std::optional<PeerItemsCall> parse(const std::string &Target);
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_PEERITEMS_H
