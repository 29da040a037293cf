#include "console/ConsoleNode.h"

#include "audit/AuditOutput.h"
#include "audit/AuditWriter.h"
#include "console/ConsoleServer.h"
#include "node/NodeClock.h"
#include "platform/HttpPlatformClient.h"

#include <glog/logging.h>
#include <unistd.h>

#include <thread>

namespace parsleyring {

/// VM name in audit records if the settings name no VM.
static const std::string DefaultVM = "console";
static constexpr std::chrono::seconds AuditFlushTimeout(10);

class ConsoleNode::Implementation {
public:
  explicit Implementation(const Settings &Options)
      : m_Settings(Options), m_AuditOutput(STDOUT_FILENO),
        m_Audit({Options.m_VM.empty() ? DefaultVM : Options.m_VM,
                 static_cast<std::uint64_t>(
                     m_Clock.now().time_since_epoch().count())},
                m_AuditOutput.stream()),
        m_Platform(Options.m_PlatformAddress, Options.m_PlatformTimeout),
        m_Publisher(
            m_Platform,
            [](Duration Length) { std::this_thread::sleep_for(Length); }),
        m_Sessions(m_Settings),
        m_Console({m_Settings, m_Sessions, m_Platform, m_Publisher, m_Counters,
                   [this](const WriteAudit &Record) {
                     m_Audit.write(Record, "console");
                   },
                   [this] { return m_AuditOutput.isCongested(); }}),
        m_Server(Options.m_CallerAddress, m_Console,
                 [this] { return m_Clock.now(); }) {}

  const NodeClock m_Clock;
  const Settings m_Settings;
  AuditOutput m_AuditOutput;
  AuditWriter m_Audit;
  HttpPlatformClient m_Platform;
  ConfigurationPublisher m_Publisher;
  ConsoleCounters m_Counters;
  SessionAuthenticator m_Sessions;
  Console m_Console;
  ConsoleServer m_Server;
};

ConsoleNode::ConsoleNode(const Settings &Options)
    : m_Implementation(std::make_unique<Implementation>(Options)) {}

ConsoleNode::~ConsoleNode() { stop(); }

void ConsoleNode::start() {
  m_Implementation->m_Server.start();
  LOG(INFO) << "console listens on port " << m_Implementation->m_Server.port();
}

void ConsoleNode::stop() {
  m_Implementation->m_Server.stop();
  m_Implementation->m_AuditOutput.close(AuditFlushTimeout);
}

} // namespace parsleyring
