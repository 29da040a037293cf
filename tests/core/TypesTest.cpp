#include "parsleyring/Types.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(Types){};

// Guards against parsing the wrong owner from an id when the VM id has hyphens.
TEST(Types, RequestIdRoundTripWithHyphens) {
  auto Parsed = parseOwnedId("req", requestId({"fd-a-vm-1", 17}, 42));
  CHECK(Parsed.has_value());
  STRCMP_EQUAL("fd-a-vm-1", Parsed->m_Owner.m_VM.c_str());
  LONGS_EQUAL(17, Parsed->m_Owner.m_Number);
  LONGS_EQUAL(42, Parsed->m_Number);
}

// Guards against accepting malformed ids from callers.
TEST(Types, MalformedIdsAreRejected) {
  for (const char *Text : {"", "req", "req-", "req-a", "req-a-1", "req-a-x-1",
                           "req-a-1-", "req--1-2", "rsv-a-1-2", "req-a-1-2x"})
    CHECK_FALSE(parseOwnedId("req", Text).has_value());
}

// Guards against account key hashes that differ from those of other tools.
TEST(Types, Sha256OfKnownText) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      sha256Hex("abc").c_str());
}

// Guards against outcome names that do not map back to their outcome.
TEST(Types, OutcomeNames) {
  for (Outcome Value :
       {Outcome::Completed, Outcome::Failed, Outcome::NotRun, Outcome::Unknown})
    CHECK(outcomeFromName(name(Value)) == Value);
  CHECK_FALSE(outcomeFromName("not run").has_value());
}

PARSLEYRING_TEST_MAIN
