#include "support/Findings.h"

#include <algorithm>

namespace parsleyring {

bool hasFinding(const std::vector<Finding> &Findings, int Line,
                const std::string &Key, const std::string &Text) {
  return std::any_of(
      Findings.begin(), Findings.end(), [&](const Finding &Each) {
        return (Line == 0 || Each.m_Line == Line) && Each.m_Key == Key &&
               Each.m_Message.find(Text) != std::string::npos;
      });
}

std::string describeFindings(const std::vector<Finding> &Findings) {
  std::string Text;
  for (const Finding &Each : Findings)
    Text += toString(Each) + "\n";
  return Text;
}

} // namespace parsleyring
