#include "document/DocumentWriter.h"
#include "support/ConsoleBrowser.h"
#include "support/SampleDocument.h"
#include "support/TestConsole.h"
#include "support/TestMain.h"

#include <regex>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(Console) {
  FakePlatform m_Platform;
  const Settings m_Settings = testConsoleSettings();
  TestConsole m_Server{m_Settings, m_Platform};
  ConsoleBrowser m_Ann{m_Server.port()};
  ConsoleBrowser m_Bob{m_Server.port()};

  void publishSample(unsigned Accounts = 3) {
    CHECK(m_Server.publish(sampleDocument(Accounts), 0, "setup").m_Status ==
          PublicationStatus::Published);
  }

  void signIn() {
    m_Ann.signIn("ann", "ann-password");
    m_Bob.signIn("bob", "bob-password");
  }

  /// Opens an account and saves a new share; the browser is then on the review
  /// page.
  static void editShare(ConsoleBrowser & Browser, const std::string &Account,
                        const std::string &Share) {
    Browser.get("/account?open=" + Account);
    Browser.submit("/account/save", {{"account.share", Share}});
    LONGS_EQUAL(200, Browser.status());
  }

  ConfigurationVersion version() { return m_Server.load().m_Version; }

  double share(std::size_t Account) {
    LoadedConfiguration Loaded = m_Server.load();
    std::string Name = "account-" + std::to_string(Account);
    for (const ClientAccount &Each :
         Loaded.m_Configuration->m_Document->m_Accounts)
      if (Each.m_Name == Name)
        return Each.m_Share;
    return 0;
  }
};

// Guards against a console that fails while nothing is published: the first
// document is imported on the import page.
TEST(Console, SignInImportReviewPublish) {
  m_Ann.get("/");
  LONGS_EQUAL(303, m_Ann.status());
  STRCMP_EQUAL("/sign-in", m_Ann.header("Location").c_str());
  m_Ann.signIn("ann", "ann-password");
  LONGS_EQUAL(303, m_Ann.status());
  CHECK(m_Ann.get("/").find("No configuration is published") !=
        std::string::npos);
  m_Ann.get("/import");
  m_Ann.submit("/import/review",
               {{"text", DocumentWriter::write(sampleDocument(2))}});
  CHECK(m_Ann.pageContains("account &quot;account-1&quot;: added"));
  LONGS_EQUAL(0, version());
  m_Ann.submit("/publish");
  LONGS_EQUAL(200, m_Ann.status());
  CHECK(m_Ann.pageContains("<strong id=\"version\">1</strong>"));
  LONGS_EQUAL(1, version());
  CHECK(m_Ann.get("/").find("<td>ann</td>") != std::string::npos);
  CHECK(m_Server.auditRecords().find(
            "\"status\":\"published\",\"operator\":\"ann\"") !=
        std::string::npos);
}

// Guards against a new account key that is stored, logged or shown twice.
TEST(Console, CreateAccountWithKey) {
  publishSample();
  signIn();
  m_Ann.get("/account");
  m_Ann.submit("/account/key", {{"account.name", "new <account>"}});
  std::smatch Key;
  std::regex Pattern("class=\"key\">([A-Za-z0-9_-]{43})</code>");
  CHECK(std::regex_search(m_Ann.page(), Key, Pattern));
  std::string Secret = Key[1];
  CHECK(m_Ann.pageContains("account new &lt;account&gt; is"));
  m_Ann.submit("/publish");
  CHECK(m_Ann.pageContains("<strong id=\"version\">2</strong>"));
  CHECK_FALSE(m_Ann.pageContains(Secret));
  LoadedConfiguration Loaded = m_Server.load();
  const ClientAccount *Found =
      Loaded.m_Configuration->m_Document->accountByKeyHash(sha256Hex(Secret));
  STRCMP_EQUAL("new <account>", Found->m_Name.c_str());
  CHECK(m_Server.auditRecords().find(Secret) == std::string::npos);
  CHECK(m_Server.auditRecords().find("password") == std::string::npos);
}

// Guards against a second operator who overwrites the first one's publication,
// or loses the entered changes in the conflict.
TEST(Console, SecondOperatorRebasesAfterConflict) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  editShare(m_Bob, "account-1", "7");
  m_Ann.submit("/publish");
  LONGS_EQUAL(200, m_Ann.status());
  m_Bob.submit("/publish");
  LONGS_EQUAL(409, m_Bob.status());
  CHECK(m_Bob.pageContains("published by ann"));
  CHECK(m_Bob.pageContains("account &quot;account-0&quot;: share 1 -&gt; 5"));
  CHECK(m_Bob.pageContains("Apply the same edit to version 2"));
  DOUBLES_EQUAL(1, share(1), 0);
  m_Bob.submit("/rebase");
  CHECK(m_Bob.pageContains("account &quot;account-1&quot;: share 1 -&gt; 7"));
  CHECK_FALSE(m_Bob.pageContains("account-0"));
  m_Bob.submit("/publish");
  LONGS_EQUAL(3, version());
  DOUBLES_EQUAL(5, share(0), 0);
  DOUBLES_EQUAL(7, share(1), 0);
  CHECK(m_Server.auditRecords().find(
            "\"status\":\"conflict\",\"operator\":\"bob\"") !=
        std::string::npos);
}

// Guards against an edit that silently overwrites another operator's change of
// the same entity.
TEST(Console, SameEntityIsNotOverwritten) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  editShare(m_Bob, "account-0", "7");
  m_Ann.submit("/publish");
  m_Bob.submit("/publish");
  LONGS_EQUAL(409, m_Bob.status());
  CHECK(m_Bob.pageContains("<li>account account-0</li>"));
  CHECK(m_Bob.pageContains("share = 7"));
  m_Bob.submit("/rebase");
  CHECK(m_Bob.pageContains("share = 7"));
  CHECK(m_Bob.pageContains("There is nothing to publish"));
  DOUBLES_EQUAL(5, share(0), 0);
}

// Guards against a form that was opened before another operator's change and
// saved after it: its outdated values must not revert that change.
TEST(Console, FormOpenedBeforeAnotherChange) {
  publishSample();
  signIn();
  m_Bob.get("/account?open=account-0");
  editShare(m_Ann, "account-0", "5");
  m_Ann.submit("/publish");
  m_Bob.submit("/account/save", {{"account.max_outstanding", "9"}});
  LONGS_EQUAL(409, m_Bob.status());
  CHECK(m_Bob.pageContains("<li>account account-0</li>"));
  CHECK(m_Bob.pageContains("max_outstanding = 9"));
}

// Guards against a publication whose platform reply is lost and which is then
// reported as failed, or published twice.
TEST(Console, LostPlatformReplyIsResolved) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  std::string Review = m_Ann.page();
  m_Platform.beforeNextWrite("config/head", [&] { m_Platform.loseAnswers(1); });
  m_Ann.submit("/publish");
  CHECK(m_Ann.pageContains("<strong id=\"version\">2</strong>"));
  LONGS_EQUAL(2, version());
}

// Guards against a publication with an unknown result that is reported as
// failed, or that a retry cannot resolve.
TEST(Console, UnknownResultIsResolvedByRetry) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  m_Platform.beforeNextWrite("config/head", [&] { m_Platform.loseWrites(99); });
  m_Ann.submit("/publish");
  LONGS_EQUAL(503, m_Ann.status());
  CHECK(
      m_Ann.pageContains("It is not known whether the version was published"));
  m_Platform.loseWrites(0);
  m_Ann.submit("/publish");
  CHECK(m_Ann.pageContains("<strong id=\"version\">2</strong>"));
}

// Guards against two concurrent publications that both succeed.
TEST(Console, ConcurrentPublications) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  editShare(m_Bob, "account-1", "7");
  m_Platform.beforeNextWrite("config/head", [&] {
    m_Bob.submit("/publish");
    LONGS_EQUAL(200, m_Bob.status());
  });
  m_Ann.submit("/publish");
  LONGS_EQUAL(409, m_Ann.status());
  CHECK(m_Ann.pageContains("account &quot;account-1&quot;: share 1 -&gt; 7"));
  m_Ann.submit("/rebase");
  m_Ann.submit("/publish");
  LONGS_EQUAL(3, version());
  DOUBLES_EQUAL(5, share(0), 0);
  DOUBLES_EQUAL(7, share(1), 0);
}

// Guards against changes that are lost or published twice when a console ends
// between two requests, or before the browser receives the response.
TEST(Console, DraftContinuesOnAnotherConsole) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  TestConsole Other(m_Settings, m_Platform);
  ConsoleBrowser Again = m_Ann;
  m_Ann.switchConsole(Other.port());
  m_Ann.submit("/publish");
  CHECK(m_Ann.pageContains("<strong id=\"version\">2</strong>"));
  editShare(m_Bob, "account-1", "7");
  m_Bob.submit("/publish");
  // Repeats the first post, as if its response had not reached the browser.
  Again.submit("/publish");
  CHECK(Again.pageContains("<strong id=\"version\">2</strong>"));
  LONGS_EQUAL(3, version());
}

// Guards against entered changes that are lost during a platform outage.
TEST(Console, PlatformOutage) {
  publishSample();
  signIn();
  m_Ann.get("/account?open=account-0");
  m_Platform.setOutage(true);
  m_Ann.submit("/account/save", {{"account.share", "5"}});
  LONGS_EQUAL(503, m_Ann.status());
  CHECK(m_Ann.pageContains("platform is down"));
  m_Platform.setOutage(false);
  m_Ann.submit("/account/save");
  LONGS_EQUAL(200, m_Ann.status());
  m_Platform.setOutage(true);
  m_Ann.submit("/publish");
  LONGS_EQUAL(503, m_Ann.status());
  m_Platform.setOutage(false);
  m_Ann.submit("/publish");
  DOUBLES_EQUAL(5, share(0), 0);
}

// Guards against a publication that leaves no audit record.
TEST(Console, NoPublicationWithoutAuditRecord) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  m_Server.m_IsCongested = true;
  m_Ann.submit("/publish");
  LONGS_EQUAL(503, m_Ann.status());
  LONGS_EQUAL(1, version());
  m_Server.m_IsCongested = false;
  m_Ann.submit("/publish");
  LONGS_EQUAL(2, version());
}

// Guards against lost changes when a platform outage starts during the
// publication.
TEST(Console, OutageDuringPublication) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  m_Platform.beforeNextWrite("config/head",
                             [&] { m_Platform.setOutage(true); });
  m_Ann.submit("/publish");
  LONGS_EQUAL(503, m_Ann.status());
  CHECK(m_Ann.pageContains("Your changes are kept"));
  m_Platform.setOutage(false);
  LONGS_EQUAL(1, version());
  m_Ann.submit("/publish");
  LONGS_EQUAL(2, version());
}

// Guards against cross-site request forgery: posts with a missing token, a
// token for another purpose or a token of another session.
TEST(Console, ForgedPostIsRefused) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  std::string DraftToken = m_Ann.fields()["token"];
  m_Bob.get("/account");
  std::string OtherToken = m_Bob.fields()["token"];
  for (const std::string &Token : {std::string(), DraftToken, OtherToken}) {
    ConsoleBrowser Forger = m_Ann;
    Forger.submit("/publish", {{"publish_token", Token}});
    LONGS_EQUAL(403, Forger.status());
  }
  ConsoleBrowser::Fields Without = m_Ann.fields();
  Without.erase("publish_token");
  ConsoleBrowser Forger = m_Ann;
  Forger.post("/publish", ConsoleBrowser::encode(Without));
  LONGS_EQUAL(400, Forger.status());
  LONGS_EQUAL(1, version());
  CHECK(m_Server.auditRecords().find("\"status\":\"forged\"") !=
        std::string::npos);
  m_Ann.submit("/publish");
  LONGS_EQUAL(2, version());
}

// Guards against a session that outlives its time limit or a password change.
TEST(Console, SessionsEnd) {
  publishSample();
  signIn();
  Settings Changed = m_Settings;
  Changed.m_Operators[1].m_PasswordHash = Changed.m_Operators[0].m_PasswordHash;
  TestConsole Other(Changed, m_Platform);
  m_Bob.switchConsole(Other.port());
  m_Bob.get("/");
  LONGS_EQUAL(303, m_Bob.status());
  m_Server.m_ClockOffset = SessionAuthenticator::SessionLifetime - Duration(1);
  m_Ann.get("/");
  LONGS_EQUAL(200, m_Ann.status());
  m_Server.m_ClockOffset = SessionAuthenticator::SessionLifetime;
  m_Ann.get("/");
  LONGS_EQUAL(303, m_Ann.status());
}

// Guards against malformed forms that change something, or whose error message
// does not name the field.
TEST(Console, MalformedFormsAreRefused) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  std::string Good = ConsoleBrowser::encode(m_Ann.fields());
  auto Refused = [&](const std::string &Path, const std::string &Body,
                     int Status, const std::string &Message) {
    ConsoleBrowser Browser = m_Ann;
    Browser.post(Path, Body);
    LONGS_EQUAL(Status, Browser.status());
    CHECK_TEXT(Browser.pageContains(Message), Browser.page().c_str());
  };
  Refused("/publish", Good + "&draft=x", 400,
          "field &quot;draft&quot; is given more than once");
  Refused("/publish", Good + "&x=%ff", 400, "field &quot;x&quot; is not UTF-8");
  Refused("/publish", Good + "&x=%0", 400, "malformed percent escape");
  Refused("/publish", Good + "&x=" + std::string(Console::MaxFormBytes, 'a'),
          413, "more than 4194304 bytes");
  ConsoleBrowser::Fields Fields = m_Ann.fields();
  Fields["draft"] = "eyJ9";
  Refused("/publish", ConsoleBrowser::encode(Fields), 400,
          "The draft is damaged");
  Fields = m_Ann.fields();
  Fields.erase("nonce");
  Refused("/publish", ConsoleBrowser::encode(Fields), 400,
          "field &quot;nonce&quot; is missing");
  Refused("/account/save", Good, 400, "field &quot;original&quot; is missing");
  LONGS_EQUAL(1, version());
  ConsoleBrowser Stranger(m_Server.port());
  Stranger.post("/publish", std::string(Console::MaxSignInBytes + 1, 'a'));
  LONGS_EQUAL(413, Stranger.status());
  Stranger.post("/publish", Good);
  LONGS_EQUAL(401, Stranger.status());
}

// Guards against a console that edits a document damaged by hand, or that
// cannot replace the damaged document.
TEST(Console, DamagedDocumentCanOnlyBeReplaced) {
  publishSample();
  signIn();
  editShare(m_Ann, "account-0", "5");
  ConfigurationHead Head = m_Server.load().m_Configuration->m_Head;
  TestConsole Fresh(m_Settings, m_Platform);
  m_Platform.put(configurationChunkKey(Head.m_Chunks[0].m_Sha256), "by hand");
  m_Ann.switchConsole(Fresh.port());
  m_Ann.get("/accounts");
  LONGS_EQUAL(409, m_Ann.status());
  CHECK(m_Ann.pageContains("does not have this SHA-256"));
  m_Ann.get("/import");
  m_Ann.submit("/import/review",
               {{"text", DocumentWriter::write(sampleDocument(1))}});
  LONGS_EQUAL(200, m_Ann.status());
  m_Ann.submit("/publish");
  CHECK(m_Ann.pageContains("<strong id=\"version\">2</strong>"));
  CHECK(Fresh.load().m_Findings.empty());
}

// Guards against findings that are shown without their line or field, and
// against an invalid draft that can be published.
TEST(Console, FindingsAreShownWithTheirFields) {
  publishSample();
  signIn();
  m_Ann.get("/import");
  m_Ann.submit("/import/review", {{"text", "[policy]\nspeed = 1\n"}});
  LONGS_EQUAL(422, m_Ann.status());
  CHECK(m_Ann.pageContains("text line 2"));
  CHECK(m_Ann.pageContains("speed = 1"));
  m_Ann.get("/account?open=account-0");
  m_Ann.submit("/account/save", {{"account.share", "many"}});
  LONGS_EQUAL(422, m_Ann.status());
  CHECK(m_Ann.pageContains("value=\"many\""));
  CHECK(m_Ann.pageContains("must be a number"));
  m_Ann.submit("/account/save", {{"account.share", "-1"}});
  CHECK(m_Ann.pageContains("<td>share</td><td>-1</td>"
                           "<td class=\"finding\">must be above 0"));
  CHECK_FALSE(m_Ann.pageContains("publish_token"));
  m_Ann.submit("/account?open=account-0");
  CHECK(m_Ann.pageContains("<span class=\"finding\">must be above 0</span>"));
}

PARSLEYRING_TEST_MAIN
