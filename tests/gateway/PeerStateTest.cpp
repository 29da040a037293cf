#include "gateway/PeerState.h"

#include "support/TestMain.h"

#include <nlohmann/json.hpp>

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

// Guards against a VM that starts and does not learn which endpoints have
// stated that they are leaving, or does not understand VMs of an earlier
// version, which do not tell it.
TEST(PeerState, StatedLeavingIsTold) {
  PeerState Sent{"the text", {{"a", 1000}}, {{"b", 2000}}};
  auto Read = PeerState::decode(Sent.encode());
  CHECK(Read.has_value());
  LONGS_EQUAL(1, Read->m_StatedLeaving.size());
  STRCMP_EQUAL("b", Read->m_StatedLeaving[0].m_Id.c_str());
  LONGS_EQUAL(2000, Read->m_StatedLeaving[0].m_StartTimeMs);
  nlohmann::json Root = nlohmann::json::from_cbor(Sent.encode());
  Root.erase("stated_leaving");
  std::vector<std::uint8_t> Bytes = nlohmann::json::to_cbor(Root);
  Read = PeerState::decode({Bytes.begin(), Bytes.end()});
  CHECK(Read.has_value());
  LONGS_EQUAL(1, Read->m_Leaving.size());
  LONGS_EQUAL(0, Read->m_StatedLeaving.size());
}

PARSLEYRING_TEST_MAIN
