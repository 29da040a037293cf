#ifndef PARSLEYRING_CONSOLE_POOLPAGES_H
#define PARSLEYRING_CONSOLE_POOLPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Pages for pools: the list, and the form of one pool with its endpoints.
class PoolPages {
public:
  static ConsoleResponse list(PageCall &Call);
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
  static ConsoleResponse remove(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_POOLPAGES_H
