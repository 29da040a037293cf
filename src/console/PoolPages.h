#ifndef PARSLEYRING_CONSOLE_POOLPAGES_H
#define PARSLEYRING_CONSOLE_POOLPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Pools: the list, and one pool with its endpoints.
class PoolPages {
public:
  static ConsoleResponse list(PageCall &Call);
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
  static ConsoleResponse remove(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_POOLPAGES_H
