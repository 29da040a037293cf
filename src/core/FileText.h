#ifndef PARSLEYRING_CORE_FILETEXT_H
#define PARSLEYRING_CORE_FILETEXT_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Content of a file. A file that cannot be read becomes a finding.
std::optional<std::string> readFile(const std::string &Path,
                                    std::vector<Finding> &Findings);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_FILETEXT_H
