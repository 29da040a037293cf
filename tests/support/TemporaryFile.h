#ifndef PARSLEYRING_TESTS_SUPPORT_TEMPORARYFILE_H
#define PARSLEYRING_TESTS_SUPPORT_TEMPORARYFILE_H

#include <string>

namespace parsleyring {

/// A file with the given content; the destructor removes the file.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Content);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;

  const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TEMPORARYFILE_H
