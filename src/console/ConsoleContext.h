#ifndef PARSLEYRING_CONSOLE_CONSOLECONTEXT_H
#define PARSLEYRING_CONSOLE_CONSOLECONTEXT_H

#include "parsleyring/Actions.h"
#include "parsleyring/PlatformClient.h"

#include "configuration/ConfigurationPublisher.h"
#include "console/ConsoleCounters.h"
#include "console/SessionAuthenticator.h"

#include <functional>

namespace parsleyring {

/// Services that the pages of the console share. All references must outlive
/// the console.
struct ConsoleContext {
  const Settings &m_Settings;
  const SessionAuthenticator &m_Sessions;
  PlatformClient &m_Platform;
  ConfigurationPublisher &m_Publisher;
  ConsoleCounters &m_Counters;
  /// Writes an audit record.
  std::function<void(const WriteAudit &)> m_WriteAudit;
  /// Returns true while too many audit records wait to be written.
  std::function<bool()> m_IsAuditCongested;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLECONTEXT_H
