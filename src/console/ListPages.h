#ifndef PARSLEYRING_CONSOLE_LISTPAGES_H
#define PARSLEYRING_CONSOLE_LISTPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Links and rules, each as one table that is edited as a whole.
class ListPages {
public:
  static ConsoleResponse openLinks(PageCall &Call);
  static ConsoleResponse saveLinks(PageCall &Call);
  static ConsoleResponse openRules(PageCall &Call);
  static ConsoleResponse saveRules(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_LISTPAGES_H
