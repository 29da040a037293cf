#include "gateway/PeerState.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(PeerState){};

// Guards against an encoder and a decoder that do not match.
TEST(PeerState, EncodedStateDecodesUnchanged) {
  PeerState Sent{"the text", {{"a", 1000}, {"b", -1}}};
  auto Read = PeerState::decode(Sent.encode());
  CHECK(Read.has_value());
  STRCMP_EQUAL("the text", Read->m_Configuration.c_str());
  LONGS_EQUAL(2, Read->m_Leaving.size());
  STRCMP_EQUAL("b", Read->m_Leaving[1].m_Id.c_str());
  LONGS_EQUAL(-1, Read->m_Leaving[1].m_StartTimeMs);
}

// Guards against an answer that is cut off, or of another program.
TEST(PeerState, InvalidBytesAreRejected) {
  std::string Bytes = PeerState{"the text", {{"a", 1000}}}.encode();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!PeerState::decode(Bytes.substr(0, Size)));
  CHECK(!PeerState::decode("404 page not found"));
}

PARSLEYRING_TEST_MAIN
