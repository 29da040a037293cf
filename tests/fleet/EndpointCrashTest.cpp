#include "fleet/EndpointCrash.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(EndpointCrash){};

// Guards against reports that another VM reads as something else.
TEST(EndpointCrash, IsReadAsWritten) {
  EndpointCrash Crash{"e1@5", Time(Duration(123456789)), {{"a", 2, true}}};
  Crash.m_Suspects.push_back({"b", 1, false});
  auto Read = EndpointCrash::parse(Crash.encode());
  CHECK(Read.has_value());
  STRCMP_EQUAL("e1@5", Read->m_Endpoint.c_str());
  CHECK(Read->m_At == Crash.m_At);
  LONGS_EQUAL(2, Read->m_Suspects.size());
  STRCMP_EQUAL("a", Read->m_Suspects[0].m_Id.c_str());
  LONGS_EQUAL(2, Read->m_Suspects[0].m_Requests);
  CHECK(Read->m_Suspects[0].m_WasAnswered);
  CHECK_FALSE(Read->m_Suspects[1].m_WasAnswered);
}

// Guards against requests that another VM takes for others, or for parts of
// prompts.
TEST(EndpointCrash, KeepsRequestsAndTheTimesOfTheirSending) {
  std::string Id = EndpointCrash::requestSuspect("abc");
  CHECK(EndpointCrash::isRequestSuspect(Id));
  CHECK_FALSE(EndpointCrash::isRequestSuspect("abc"));
  EndpointCrash Crash{"e1@5", Time(Duration(900)), {{Id, 1, false}}};
  Crash.m_Suspects[0].m_SentAt = Time(Duration(800));
  auto Read = EndpointCrash::parse(Crash.encode());
  CHECK(Read.has_value());
  STRCMP_EQUAL(Id.c_str(), Read->m_Suspects[0].m_Id.c_str());
  CHECK(Read->m_Suspects[0].m_SentAt == Time(Duration(800)));
}

// Guards against items of another writer that end the process.
TEST(EndpointCrash, RejectsOtherTexts) {
  for (const char *Text :
       {"", "{", "[]", "{\"engine\":\"e\"}",
        "{\"engine\":1,\"at_us\":1,\"suspects\":[]}",
        "{\"engine\":\"e\",\"at_us\":\"1\",\"suspects\":[]}",
        "{\"engine\":\"e\",\"at_us\":1,\"suspects\":[\"a\"]}",
        "{\"engine\":\"e\",\"at_us\":1,\"suspects\":[{\"part\":\"a\","
        "\"requests\":-1,\"was_answered\":true}]}",
        "{\"engine\":\"e\",\"at_us\":1,\"suspects\":[{\"part\":\"a\","
        "\"requests\":1,\"was_answered\":true,\"sent_us\":\"1\"}]}"})
    CHECK_FALSE(EndpointCrash::parse(Text).has_value());
}

PARSLEYRING_TEST_MAIN
