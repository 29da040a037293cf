#include "gateway/PeerState.h"
#include "membership/LoadDigest.h"
#include "store/PeerItems.h"
#include "support/TestMain.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(Cbor){/// Reads the bytes as each kind of message between VMs; true
                 /// if one is valid.
                 static bool isMessage(const std::string &Bytes){
                     bool IsDigest = LoadDigest::decode(Bytes).has_value();
bool IsState = PeerState::decode(Bytes).has_value();
bool IsItems = PeerItems::decode(Bytes).has_value();
return IsDigest || IsState || IsItems;
}

static std::vector<std::string> messages() {
  LoadDigest Digest{"vm", false, 7, {{"e", 1234, 3, 1.5, 55}}};
  Digest.m_Leaving = {{"a", 1000}};
  PeerItems Items;
  Items.m_Items = {{"k", "v", 5, false}, {"gone", "", 6, true}};
  return {Digest.encode(), PeerState{"text", {{"a", 1}}, {}}.encode(),
          Items.encode()};
}
}
;

// Guards against a message that ends the process by the number of entries that
// it states, which json::from_cbor() answers with an exception.
TEST(Cbor, StatedNumberOfEntriesMayBeAnything) {
  for (char Container : {'\x9b', '\xbb'})
    for (char Byte : {'\xff', '\x7f', '\x01', '\x00'}) {
      std::string Bytes = Container + std::string(8, Byte);
      CHECK(!isMessage(Bytes));
      CHECK(!isMessage("\xa1\x65loads" + Bytes));
    }
}

// Guards against nested values that exhaust the stack.
TEST(Cbor, DeepNestingIsRejected) {
  for (const char *Level : {"\x81", "\x9f", "\xa1\x61k", "\xbf\x61k"}) {
    std::string Bytes;
    while (Bytes.size() < 500000)
      Bytes += Level;
    CHECK(!isMessage(Bytes));
  }
}

// Guards against any other bytes that end the process.
TEST(Cbor, ChangedMessagesAreReadOrRejected) {
  std::minstd_rand Random(1);
  for (const std::string &Sound : messages()) {
    CHECK(isMessage(Sound));
    int Valid = 0;
    for (int Round = 0; Round < 20000; ++Round) {
      std::string Bytes = Sound;
      for (std::size_t Change = 0; Change <= Random() % 3; ++Change)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random() >> 8);
      Valid += isMessage(Bytes);
    }
    CHECK(Valid < 20000);
  }
}

PARSLEYRING_TEST_MAIN
