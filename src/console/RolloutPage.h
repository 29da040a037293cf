#ifndef PARSLEYRING_CONSOLE_ROLLOUTPAGE_H
#define PARSLEYRING_CONSOLE_ROLLOUTPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Shows which configuration version each router has in force.
class RolloutPage {
public:
  static ConsoleResponse show(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ROLLOUTPAGE_H
