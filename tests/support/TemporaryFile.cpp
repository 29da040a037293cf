#include "support/TemporaryFile.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace parsleyring {

TemporaryFile::TemporaryFile(const std::string &Content)
    : m_Path(std::filesystem::temp_directory_path() /
             "parsleyring-test-XXXXXX") {
  int File = mkstemp(m_Path.data());
  if (File < 0)
    throw std::runtime_error("cannot create " + m_Path);
  close(File);
  std::ofstream(m_Path, std::ios::binary) << Content;
}

TemporaryFile::~TemporaryFile() { unlink(m_Path.c_str()); }

} // namespace parsleyring
