#ifndef PARSLEYRING_STORE_PEERITEMS_H
#define PARSLEYRING_STORE_PEERITEMS_H

#include "store/StoreProtocol.h"

namespace parsleyring {

/// The store items that one VM sends to another one on request.
struct PeerItems {
  std::vector<StoreItem> m_Items;
  StoreVersion m_Version;
  /// True: all items of m_Version. False: only the changes since the version
  /// in the request.
  bool m_IsComplete = false;
  /// Time since the store last answered, as far as the sender knows.
  Duration m_Age{};

  std::string encode() const;
  /// Empty if the bytes are not a valid message.
  static std::optional<PeerItems> decode(const std::string &Bytes);
};

/// A call that requests from another VM the items after a version. The other
/// VM answers after at most m_Wait if there are none (long poll).
struct PeerItemsCall {
  StoreVersion m_Version;
  Duration m_Wait{};

  StoreCall call() const;
  static std::optional<PeerItemsCall> parse(const std::string &Target);
};

} // namespace parsleyring

#endif // PARSLEYRING_STORE_PEERITEMS_H
