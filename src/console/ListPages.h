#ifndef PARSLEYRING_CONSOLE_LISTPAGES_H
#define PARSLEYRING_CONSOLE_LISTPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Pages for links and for rules, each edited as one table.
class ListPages {
public:
  static ConsoleResponse openLinks(PageCall &Call);
  static ConsoleResponse saveLinks(PageCall &Call);
  static ConsoleResponse openRules(PageCall &Call);
  static ConsoleResponse saveRules(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_LISTPAGES_H
