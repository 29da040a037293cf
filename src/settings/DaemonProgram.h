#ifndef PARSLEYRING_SETTINGS_DAEMONPROGRAM_H
#define PARSLEYRING_SETTINGS_DAEMONPROGRAM_H

#include "parsleyring/Settings.h"

#include <functional>
#include <string>

namespace parsleyring {

/// Command line, settings file, log and exit codes of a daemon: 0 after a
/// graceful end, 1 after a failure, 2 for a bad command line or settings file.
class DaemonProgram {
public:
  DaemonProgram(const std::string &Description, Settings::Program Reader);

  /// Reads the settings and calls Run, which returns when the daemon ends.
  /// Exceptions of Run are failures.
  int run(int ArgumentCount, char **Arguments,
          const std::function<void(const Settings &)> &Run) const;

private:
  std::string m_Description;
  Settings::Program m_Reader;
};

} // namespace parsleyring

#endif // PARSLEYRING_SETTINGS_DAEMONPROGRAM_H
