#ifndef PARSLEYRING_CONSOLE_OVERVIEWPAGE_H
#define PARSLEYRING_CONSOLE_OVERVIEWPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Summary of the configuration in force.
class OverviewPage {
public:
  static ConsoleResponse show(PageCall &Call);
  /// Error page if the document in the platform cannot be read.
  static ConsoleResponse damaged(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_OVERVIEWPAGE_H
