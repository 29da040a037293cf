#include "requests/ServicePath.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(ServicePath){};

// Guards against callers that evade a rule with another spelling of the path,
// and against rules that match other paths.
TEST(ServicePath, SpellingsOfANonIdempotentPath) {
  Document Configuration;
  Configuration.m_Rules = {{"ledger", "GET", "/pay", true},
                           {"ledger", "POST", "/pay/status", true},
                           {"ledger", "*", "/pay", false}};
  for (const char *Path :
       {"/pay", "/pay/1", "//pay", "/./pay", "/x/../pay", "/%70ay", "/%2Fpay",
        "/pay/status/../1", "/%2e%2e/pay", "pay", "/../pay"})
    CHECK_FALSE_TEXT(isIdempotentCall(Configuration, "ledger", "POST", Path),
                     Path);
  for (const char *Path : {"", "/", "/read", "/pay/status", "/x/pay", "/%7",
                           "/%zzpay", "/a/..", "/pa"})
    CHECK_TEXT(isIdempotentCall(Configuration, "ledger", "POST", Path), Path);
  CHECK(isIdempotentCall(Configuration, "ledger", "GET", "/pay"));
  CHECK(isIdempotentCall(Configuration, "other", "POST", "/pay"));
  STRCMP_EQUAL("/a/b/", canonicalPath("//a/./c/../b/").c_str());
  STRCMP_EQUAL("/p", withoutQuery("/p?card=1").c_str());
}

PARSLEYRING_TEST_MAIN
