#include "support/TestConsole.h"

#include "console/PasswordHash.h"

namespace parsleyring {

static constexpr std::uint32_t Rounds = 1000;
static const Time Start{std::chrono::hours(490000)};

Settings testConsoleSettings() {
  Settings Values;
  Values.m_SessionSecret = "a secret of 32 bytes for sessions";
  Values.m_Operators = {{"ann", hashPassword("ann-password", Rounds)},
                        {"bob", hashPassword("bob-password", Rounds)}};
  return Values;
}

TestConsole::TestConsole(const Settings &Values, FakePlatform &Platform)
    : m_Settings(Values), m_Sessions(m_Settings),
      m_Publisher(Platform, [](Duration) {}),
      m_Console({m_Settings, m_Sessions, Platform, m_Publisher, m_Counters,
                 [this](const WriteAudit &Record) {
                   std::lock_guard<std::mutex> Lock(m_Mutex);
                   m_AuditRecords += Record.m_FieldsJson + "\n";
                 },
                 [this] { return m_IsCongested.load(); }}),
      m_Server("127.0.0.1:0", m_Console,
               [this] { return Start + m_ClockOffset.load(); }) {
  m_Server.start();
}

TestConsole::~TestConsole() { m_Server.stop(); }

std::string TestConsole::auditRecords() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_AuditRecords;
}

PublicationResult TestConsole::publish(const Document &Value,
                                       ConfigurationVersion Base,
                                       const std::string &Author) {
  Publication Wanted;
  Wanted.m_Document = Value;
  Wanted.m_BaseVersion = Base;
  Wanted.m_Author = Author;
  Wanted.m_Submission = Author + std::to_string(Base);
  return m_Publisher.publish(Start, Wanted);
}

} // namespace parsleyring
