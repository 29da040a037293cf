#ifndef PARSLEYRING_CONSOLE_POLICYPAGE_H
#define PARSLEYRING_CONSOLE_POLICYPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Form of the policy section of the document.
class PolicyPage {
public:
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_POLICYPAGE_H
