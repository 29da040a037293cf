#ifndef PARSLEYRING_TESTS_SUPPORT_FINDINGS_H
#define PARSLEYRING_TESTS_SUPPORT_FINDINGS_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// True if a finding at Line (0: any line) has Key and a message that contains
/// Text.
bool hasFinding(const std::vector<Finding> &Findings, int Line,
                const std::string &Key, const std::string &Text);

/// All findings, one per line, for failure messages of checks.
std::string describeFindings(const std::vector<Finding> &Findings);

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_FINDINGS_H
