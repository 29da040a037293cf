#include "document/DocumentWriter.h"
#include "support/ConsoleBrowser.h"
#include "support/Eventually.h"
#include "support/FreePort.h"
#include "support/ProcessRunner.h"
#include "support/SampleDocument.h"
#include "support/TemporaryFile.h"
#include "support/TestConsole.h"
#include "support/TestMain.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(ConsoleProcess) {
  ProcessRunner m_Platform{"parsleyring-emulator",
                           {"platform", "--listen", "127.0.0.1:0"}};
  const std::string m_PlatformAddress = m_Platform.waitForLine("listening");
  const Settings m_Values = testConsoleSettings();

  /// A console process on its own port.
  struct Running {
    FreePort m_Port;
    std::unique_ptr<TemporaryFile> m_Settings;
    std::unique_ptr<ProcessRunner> m_Process;

    int port() const {
      const std::string &Address = m_Port.address();
      return std::stoi(Address.substr(Address.find(':') + 1));
    }
  };

  std::unique_ptr<Running> start() {
    auto Result = std::make_unique<Running>();
    const OperatorLogin &Ann = m_Values.m_Operators[0];
    Result->m_Settings = std::make_unique<TemporaryFile>(
        "[listen]\ncallers = \"" + Result->m_Port.address() +
        "\"\n[platform]\naddress = \"" + m_PlatformAddress +
        "\"\n[console]\nsession_secret = \"" + m_Values.m_SessionSecret +
        "\"\n[[console.operator]]\nname = \"ann\"\npassword_hash = \"" +
        Ann.m_PasswordHash + "\"\n");
    Result->m_Process = std::make_unique<ProcessRunner>(
        "parsleyring-console",
        std::vector<std::string>{"--config", Result->m_Settings->path()});
    ConsoleBrowser Probe(Result->port());
    CHECK(eventually([&] { return Probe.get("/healthz") == "alive\n"; }));
    return Result;
  }
};

// Guards against a draft or a session that is lost when the console is killed.
TEST(ConsoleProcess, KilledBetweenReviewAndPublication) {
  std::unique_ptr<Running> First = start();
  ConsoleBrowser Ann(First->port());
  Ann.signIn("ann", "ann-password");
  Ann.get("/import");
  Ann.submit("/import/review",
             {{"text", DocumentWriter::write(sampleDocument())}});
  CHECK(Ann.pageContains("This becomes version 1"));
  First->m_Process->kill();
  Ann.submit("/publish");
  LONGS_EQUAL(0, Ann.status());
  std::unique_ptr<Running> Second = start();
  Ann.switchConsole(Second->port());
  Ann.submit("/publish");
  CHECK(Ann.pageContains("id=\"version\">1<"));
  Second->m_Process->terminate();
  LONGS_EQUAL(0, Second->m_Process->waitForExit().value_or(-1));
  std::string Records = Second->m_Process->output();
  CHECK(Records.find("\"kind\":\"configuration\",\"module\":\"console\","
                     "\"event\":\"publication\",\"status\":\"started\"") !=
        std::string::npos);
  CHECK(Records.find("\"status\":\"published\"") != std::string::npos);
  CHECK(Records.find("password") == std::string::npos);
}

// Guards against a console that starts with invalid settings.
TEST(ConsoleProcess, InvalidSettings) {
  TemporaryFile Bad("[listen]\ncallers = \"here\"\n");
  ProcessRunner Process("parsleyring-console", {"--config", Bad.path()});
  LONGS_EQUAL(2, Process.waitForExit().value_or(-1));
  CHECK(Process.errors().find(":2: listen.callers: must be IP:port") !=
        std::string::npos);
  CHECK(Process.errors().find("console.session_secret") != std::string::npos);
}

PARSLEYRING_TEST_MAIN
