#ifndef PARSLEYRING_CONSOLE_ACCOUNTPAGES_H
#define PARSLEYRING_CONSOLE_ACCOUNTPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Client accounts: a list with search and pages, and one account.
class AccountPages {
public:
  static ConsoleResponse list(PageCall &Call);
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
  /// As save(), with a new key, which is shown once.
  static ConsoleResponse createKey(PageCall &Call);
  static ConsoleResponse remove(PageCall &Call);

  static constexpr std::size_t RowsPerPage = 50;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ACCOUNTPAGES_H
