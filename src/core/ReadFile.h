#ifndef PARSLEYRING_CORE_READFILE_H
#define PARSLEYRING_CORE_READFILE_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Returns the content of a file, or adds a finding if it cannot be read.
std::optional<std::string> readFile(const std::string &Path,
                                    std::vector<Finding> &Findings);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_READFILE_H
