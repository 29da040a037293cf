#ifndef PARSLEYRING_SETTINGS_DAEMONPROGRAM_H
#define PARSLEYRING_SETTINGS_DAEMONPROGRAM_H

#include "parsleyring/Settings.h"

#include <functional>
#include <string>

namespace parsleyring {

/// Handles command line, settings file, logging and exit code of a daemon: 0
/// after a graceful shutdown, 1 after a failure, 2 for an invalid command line
/// or settings file.
class DaemonProgram {
public:
  DaemonProgram(const std::string &Description, Settings::Program Reader);

  /// Reads the settings and calls Run, which returns at the shutdown of the
  /// daemon. An exception of Run is a failure.
  int run(int ArgumentCount, char **Arguments,
          const std::function<void(const Settings &)> &Run) const;

private:
  std::string m_Description;
  Settings::Program m_Reader;
};

} // namespace parsleyring

#endif // PARSLEYRING_SETTINGS_DAEMONPROGRAM_H
