#ifndef PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H
#define PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H

#include "console/ConsoleServer.h"

#include "support/FakePlatform.h"

namespace parsleyring {

/// Settings with the operators "ann" and "bob", whose passwords are
/// "ann-password" and "bob-password".
Settings testConsoleSettings();

/// A console server with all of its parts except settings and platform. Its
/// clock stands still; tests move the clock by m_ClockOffset.
class TestConsole {
public:
  TestConsole(const Settings &Values, FakePlatform &Platform);
  ~TestConsole();

  int port() const { return m_Server.port(); }
  /// The audit records so far, one per line.
  std::string auditRecords() const;
  /// Publishes directly, as another console would.
  PublicationResult publish(const Document &Value, ConfigurationVersion Base,
                            const std::string &Author);
  /// The configuration that the platform holds.
  LoadedConfiguration load() { return m_Publisher.load(); }

  /// Added to the fixed time.
  std::atomic<Duration> m_ClockOffset{Duration(0)};
  std::atomic<bool> m_IsCongested{false}; ///< The audit output is congested.

private:
  const Settings m_Settings;
  SessionAuthenticator m_Sessions;
  ConfigurationPublisher m_Publisher;
  ConsoleCounters m_Counters;
  mutable std::mutex m_Mutex; ///< Guards m_AuditRecords.
  std::string m_AuditRecords;
  Console m_Console;
  ConsoleServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H
