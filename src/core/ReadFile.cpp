#include "core/ReadFile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace parsleyring {

std::optional<std::string> readFile(const std::string &Path,
                                    std::vector<Finding> &Findings) {
  errno = 0;
  std::ifstream Input(Path, std::ios::binary);
  std::ostringstream Text;
  // Copying an empty buffer sets failbit on Text, so only errors of the input
  // are checked.
  if (Input && Input.peek() != std::ifstream::traits_type::eof())
    Text << Input.rdbuf();
  if (Input.is_open() && !Input.bad())
    return Text.str();
  Findings.push_back(
      {Path, 0, "", std::string("cannot be read: ") + std::strerror(errno)});
  return std::nullopt;
}

} // namespace parsleyring
