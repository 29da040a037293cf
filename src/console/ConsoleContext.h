#ifndef PARSLEYRING_CONSOLE_CONSOLECONTEXT_H
#define PARSLEYRING_CONSOLE_CONSOLECONTEXT_H

#include "parsleyring/Actions.h"
#include "parsleyring/PlatformClient.h"

#include "configuration/ConfigurationPublisher.h"
#include "console/ConsoleCounters.h"
#include "console/SessionGuard.h"

#include <functional>

namespace parsleyring {

/// What the pages of the console share. All of it must outlive the console.
struct ConsoleContext {
  const Settings &m_Settings;
  const SessionGuard &m_Sessions;
  PlatformClient &m_Platform;
  ConfigurationPublisher &m_Publisher;
  ConsoleCounters &m_Counters;
  std::function<void(const WriteAudit &)> m_Record;
  /// Too many records are not written yet.
  std::function<bool()> m_IsRecordingCongested;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLECONTEXT_H
