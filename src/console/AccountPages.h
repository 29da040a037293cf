#ifndef PARSLEYRING_CONSOLE_ACCOUNTPAGES_H
#define PARSLEYRING_CONSOLE_ACCOUNTPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Pages for client accounts: the list with search and paging, and the form of
/// one account.
class AccountPages {
public:
  static ConsoleResponse list(PageCall &Call);
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
  /// Like save(), but also adds a new random key and shows the key once.
  static ConsoleResponse createKey(PageCall &Call);
  static ConsoleResponse remove(PageCall &Call);

  static constexpr std::size_t RowsPerPage = 50;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_ACCOUNTPAGES_H
