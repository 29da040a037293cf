#include "parsleyring/Settings.h"

#include "support/Findings.h"
#include "support/TemporaryFile.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static const std::string ValidSettings = R"([vm]
id = "vm-1"
failure_domain = "fd-a"
[listen]
callers = "127.0.0.1:8080"
peers = "[::1]:9090"
[platform]
address = "127.0.0.1:8500"
timeout_ms = 250
[[peer]]
id = "vm-2"
address = "127.0.0.2:9090"
failure_domain = "fd-b"
[limits]
answer_keep_seconds = 60
[audit]
trace = true
)";

static const std::string Hash64(64, 'a');

TEST_GROUP(Settings) {
  std::vector<Finding> m_Findings;

  Settings read(const std::string &Text,
                Settings::Program Reader = Settings::Program::Router) {
    m_Findings.clear();
    TemporaryFile File(Text);
    return Settings::fromFile(File.path(), Reader, m_Findings);
  }
  void expect(int Line, const char *Key, const char *Text) {
    CHECK_TEXT(hasFinding(m_Findings, Line, Key, Text),
               describeFindings(m_Findings).c_str());
  }
};

// Guards against a valid file that is rejected or read with wrong units.
TEST(Settings, ValidFile) {
  Settings Result = read(ValidSettings);
  STRCMP_EQUAL("", describeFindings(m_Findings).c_str());
  STRCMP_EQUAL("vm-1", Result.m_VM.c_str());
  STRCMP_EQUAL("[::1]:9090", Result.m_PeerAddress.c_str());
  CHECK(Result.m_PlatformTimeout == std::chrono::milliseconds(250));
  CHECK(Result.m_AnswerKeepTime == std::chrono::minutes(1));
  CHECK(Result.m_DrainLead == std::chrono::seconds(5));
  CHECK(Result.m_IsTraceEnabled);
  LONGS_EQUAL(1, Result.m_Peers.size());
}

// Guards against reporting only the first error of a file.
TEST(Settings, AllErrorsAreReported) {
  read(R"([vm]
id = "a/b"
rack = 7
[listen]
callers = "localhost:80"
peers = "127.0.0.1:70000"
[platform]
timeout_ms = 1
[[peer]]
id = "vm-2"
address = "127.0.0.2:1"
failure_domain = "fd-b"
[[peer]]
id = "vm-2"
address = "127.0.0.2:1"
failure_domain = 3
[limits]
max_connections = 0
drain_lead_ms = "5"
[extra]
)");
  expect(2, "vm.id", "letters, digits");
  expect(3, "vm.rack", "unknown; allowed here: id failure_domain");
  expect(1, "vm.failure_domain", "required");
  expect(5, "listen.callers", "must be IP:port");
  expect(6, "listen.peers", "must be IP:port");
  expect(7, "platform.address", "required");
  expect(8, "platform.timeout_ms", "integer from 10 to 60000");
  expect(14, "peer[1].id", "twice");
  expect(15, "peer[1].address", "twice");
  expect(16, "peer[1].failure_domain", "must be a string");
  expect(18, "limits.max_connections", "integer from 1 to 65535");
  expect(19, "limits.drain_lead_ms", "must be an integer");
  expect(20, "extra", "unknown");
  LONGS_EQUAL(13, m_Findings.size());
}

// Guards against starting without a file or with a truncated file.
TEST(Settings, UnreadableAndMalformedFiles) {
  Settings::fromFile("/nonexistent/settings.toml", Settings::Program::Router,
                     m_Findings);
  expect(0, "", "cannot be read: No such file");
  read("[vm]\nid = \"a\nb\"\n");
  expect(2, "", "not valid TOML");
  LONGS_EQUAL(1, m_Findings.size());
  read("");
  expect(0, "vm.id", "required");
}

// Guards against a console that starts without operators or with a weak
// secret, and against console secrets on router VMs.
TEST(Settings, Console) {
  std::string Console = "[listen]\ncallers = \"127.0.0.1:80\"\n"
                        "[platform]\naddress = \"127.0.0.1:8500\"\n"
                        "[console]\nsession_secret = ";
  std::string Operators = "[[console.operator]]\nname = \"ann\"\n"
                          "password_hash = \"pbkdf2-sha256$100000$" +
                          std::string(32, '0') + "$" + Hash64 + "\"\n";
  Settings Result = read(Console + "\"" + Hash64 + "\"\n" + Operators,
                         Settings::Program::Console);
  STRCMP_EQUAL("", describeFindings(m_Findings).c_str());
  LONGS_EQUAL(1, Result.m_Operators.size());
  read(Console + "\"short\"\n" + Operators + Operators +
           "[[console.operator]]\nname = \"bob\"\npassword_hash = \"x\"\n",
       Settings::Program::Console);
  expect(6, "console.session_secret", "32 bytes");
  expect(11, "console.operator[1].name", "twice");
  expect(15, "console.operator[2].password_hash", "must be pbkdf2-sha256");
  read(Console + "\"" + Hash64 + "\"\n", Settings::Program::Console);
  expect(5, "console.operator", "required");
  read(ValidSettings + "[console]\n");
  expect(18, "console", "the console only");
  std::string Router = "[[router]]\nvm = \"a\"\naddress = \"127.0.0.1:80\"\n";
  Result = read(Console + "\"" + Hash64 + "\"\n" + Operators + Router + Router +
                    "[[router]]\naddress = \"b\"\n",
                Settings::Program::Console);
  STRCMP_EQUAL("127.0.0.1:80", Result.m_Routers.front().m_Address.c_str());
  expect(14, "router[1].vm", "twice");
  expect(16, "router[2].vm", "required");
  expect(17, "router[2].address", "IP:port");
  read(ValidSettings + Router);
  expect(18, "router", "unknown");
}

PARSLEYRING_TEST_MAIN
