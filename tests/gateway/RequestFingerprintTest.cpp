#include "gateway/RequestFingerprint.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(RequestFingerprint) {
  CallerRequest m_Request;

  void setup() override {
    m_Request.m_Method = "POST";
    m_Request.m_Target = "/path/a";
    m_Request.m_Body = "body";
    m_Request.m_Fields.set("Host", "host");
  }
  std::string fingerprint(const CallerRequest &Request) {
    return requestFingerprint(Request, "account");
  }
};

// Guards against VMs, also of another architecture or release, that do not
// recognize each other's requests.
TEST(RequestFingerprint, IsTheSameEverywhere) {
  STRCMP_EQUAL("a64ce88c78bf48ad5aba7455746c9491",
               fingerprint(m_Request).c_str());
  CallerRequest Repeated = m_Request;
  Repeated.m_Fields.set("Attempt-Id", "2");
  Repeated.m_Fields.set("Deadline-Ms", "50");
  STRCMP_EQUAL(fingerprint(m_Request).c_str(), fingerprint(Repeated).c_str());
  Repeated.m_Target += "?page=2";
  STRCMP_EQUAL(fingerprint(m_Request).c_str(), fingerprint(Repeated).c_str());
}

// Guards against a request that is taken for another one.
TEST(RequestFingerprint, DiffersWithWhatMakesTheRequest) {
  std::string Original = fingerprint(m_Request);
  CallerRequest Other = m_Request;
  Other.m_Body = "body2";
  CHECK(Original != fingerprint(Other));
  Other = m_Request;
  Other.m_Method = "PUT";
  CHECK(Original != fingerprint(Other));
  Other = m_Request;
  Other.m_Fields.set("Host", "other");
  CHECK(Original != fingerprint(Other));
  Other = m_Request;
  Other.m_Target = "/path/ab";
  Other.m_Body = "ody";
  CHECK(Original != fingerprint(Other));
  CHECK(Original != requestFingerprint(m_Request, "other"));
  std::string Prompt = requestFingerprint(m_Request, "account", "aa:1,bb:2");
  CHECK(Original != Prompt);
  CHECK(Prompt != requestFingerprint(m_Request, "account", "aa:1,bc:2"));
}

// Guards against a body that is read beyond its end, or not to its end.
TEST(RequestFingerprint, CoversWholeBodiesOfAnySize) {
  m_Request.m_Body.clear();
  std::string Empty = fingerprint(m_Request);
  m_Request.m_Body.assign(4 << 20, 'x');
  std::string Long = fingerprint(m_Request);
  m_Request.m_Body.back() = 'y';
  CHECK(Long != Empty);
  CHECK(Long != fingerprint(m_Request));
}

PARSLEYRING_TEST_MAIN
