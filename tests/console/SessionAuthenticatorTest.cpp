#include "console/SessionAuthenticator.h"

#include "console/HashPasswordCommand.h"
#include "console/PasswordHash.h"
#include "support/TestConsole.h"
#include "support/TestMain.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(SessionAuthenticator) {
  const Settings m_Settings = testConsoleSettings();
  const SessionAuthenticator m_Authenticator{m_Settings};
  const Time m_Now{std::chrono::hours(490000)};
};

// Guards against session cookies that were forged or modified.
TEST(SessionAuthenticator, ModifiedCookiesAreRejected) {
  std::string Cookie = m_Authenticator.startSession(m_Now, "ann");
  STRCMP_EQUAL("ann", m_Authenticator.operatorOf(m_Now, Cookie)->c_str());
  for (std::size_t At = 0; At < Cookie.size(); ++At) {
    std::string Changed = Cookie;
    Changed[At] = Changed[At] == '0' ? '1' : '0';
    CHECK_FALSE(m_Authenticator.operatorOf(m_Now, Changed).has_value());
    CHECK_FALSE(
        m_Authenticator.operatorOf(m_Now, Cookie.substr(0, At)).has_value());
  }
  Settings Other = m_Settings;
  Other.m_SessionSecret[0] = 'A';
  CHECK_FALSE(
      SessionAuthenticator(Other).operatorOf(m_Now, Cookie).has_value());
  Other = m_Settings;
  Other.m_Operators.erase(Other.m_Operators.begin());
  CHECK_FALSE(
      SessionAuthenticator(Other).operatorOf(m_Now, Cookie).has_value());
  CHECK(m_Authenticator.startSession(m_Now, "nobody").empty());
}

// Guards against a form token that is valid for another session or purpose.
TEST(SessionAuthenticator, FormTokensAreBoundToSessionAndPurpose) {
  std::string First = m_Authenticator.startSession(m_Now, "ann");
  std::string Second = m_Authenticator.startSession(m_Now, "ann");
  std::string Token = m_Authenticator.formToken(First, FormPurpose::Draft);
  CHECK(m_Authenticator.isValidFormToken(Token, First, FormPurpose::Draft));
  CHECK_FALSE(
      m_Authenticator.isValidFormToken(Token, First, FormPurpose::Publish));
  CHECK_FALSE(
      m_Authenticator.isValidFormToken(Token, Second, FormPurpose::Draft));
  CHECK_FALSE(m_Authenticator.isValidFormToken("", First, FormPurpose::Draft));
  std::string ForNobody = m_Authenticator.formToken("", FormPurpose::SignIn);
  CHECK_FALSE(
      m_Authenticator.isValidFormToken(ForNobody, "", FormPurpose::SignIn));
}

// Guards against hashes that are incompatible with other tools (the known hash
// is from Python's hashlib), and against accepting wrong passwords.
TEST(SessionAuthenticator, PasswordHashes) {
  const std::string Known =
      "pbkdf2-sha256$1000$00112233445566778899aabbccddeeff$"
      "4c5805526868c915a4cba43d75ec6b0a07152bb7b9ca30501c96ea0f91886829";
  CHECK(verifyPassword("correct horse", Known));
  CHECK_FALSE(verifyPassword("correct horse ", Known));
  for (const char *Malformed :
       {"", "pbkdf2-sha256$", "pbkdf2-sha256$1000$00", "pbkdf2-sha256$$00$00",
        "pbkdf2-sha256$x$00$00", "pbkdf2-sha256$0$00$00",
        "pbkdf2-sha256$1000$0g$00", "plain"})
    CHECK_FALSE(verifyPassword("", Malformed));
  CHECK(m_Authenticator.canSignIn("ann", "ann-password"));
  CHECK_FALSE(m_Authenticator.canSignIn("ann", "bob-password"));
  CHECK_FALSE(m_Authenticator.canSignIn("nobody", "ann-password"));
}

// Guards against a printed hash that does not match the password, and against
// hashing a password that is too short.
TEST(SessionAuthenticator, HashPasswordCommand) {
  std::istringstream Input("correct horse\r\nsecond line\n");
  std::ostringstream Output;
  std::ostringstream Errors;
  LONGS_EQUAL(0, HashPasswordCommand::run(Input, Output, Errors, 1000));
  std::string Line = Output.str();
  CHECK(verifyPassword("correct horse", Line.substr(0, Line.size() - 1)));
  std::istringstream Short("short\n");
  LONGS_EQUAL(1, HashPasswordCommand::run(Short, Output, Errors, 1000));
  CHECK(Errors.str().find("8 to 1024 bytes") != std::string::npos);
}

PARSLEYRING_TEST_MAIN
