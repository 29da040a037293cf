#ifndef PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H
#define PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H

#include "console/ConsoleServer.h"

#include "support/FakePlatform.h"

namespace parsleyring {

/// Operators "ann" and "bob" with the passwords "ann-password" and
/// "bob-password".
Settings testConsoleSettings();

/// One console process: all that it has besides settings and platform. Its
/// time stands still.
class TestConsole {
public:
  TestConsole(const Settings &Values, FakePlatform &Platform);
  ~TestConsole();

  int port() const { return m_Server.port(); }
  /// The audit records so far, one per line.
  std::string records() const;
  /// Publishes without the console, as another one would.
  PublicationResult publish(const Document &Value, ConfigurationVersion Base,
                            const std::string &Author);
  /// What the platform holds.
  LoadedConfiguration load() { return m_Publisher.load(); }

  std::atomic<Duration> m_Age{Duration(0)}; ///< Added to the time.
  std::atomic<bool> m_IsCongested{false};   ///< Audit records are not taken.

private:
  const Settings m_Settings;
  SessionAuthenticator m_Sessions;
  ConfigurationPublisher m_Publisher;
  ConsoleCounters m_Counters;
  mutable std::mutex m_Mutex; ///< Guards m_Records.
  std::string m_Records;
  Console m_Console;
  ConsoleServer m_Server;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_TESTCONSOLE_H
