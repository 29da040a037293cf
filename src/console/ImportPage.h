#ifndef PARSLEYRING_CONSOLE_IMPORTPAGE_H
#define PARSLEYRING_CONSOLE_IMPORTPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Imports a document from TOML text, and downloads the document in force.
class ImportPage {
public:
  static ConsoleResponse show(PageCall &Call);
  static ConsoleResponse review(PageCall &Call);
  static ConsoleResponse download(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_IMPORTPAGE_H
