#include "store/PeerItems.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(PeerItems){};

// Guards against items that are changed by encoding and decoding.
TEST(PeerItems, DecodingRestoresEncodedItems) {
  PeerItems Items;
  Items.m_Items = {{"k", std::string("\0\xff", 2), 5, false},
                   {"gone", "", 6, true}};
  Items.m_Revision = 6;
  Items.m_IsComplete = true;
  Items.m_Age = 1500ms;
  auto Decoded = PeerItems::decode(Items.encode());
  CHECK(Decoded.has_value());
  LONGS_EQUAL(6, Decoded->m_Revision);
  CHECK(Decoded->m_IsComplete);
  CHECK(Decoded->m_Age == 1500ms);
  CHECK(Decoded->m_Items[0].m_Value == Items.m_Items[0].m_Value);
  CHECK(Decoded->m_Items[1].m_IsDeleted);
}

// Guards against truncated messages that are read as the deletion of all other
// keys.
TEST(PeerItems, RejectsTruncatedMessages) {
  PeerItems Items;
  Items.m_Items = {{"k", "value", 5, false}};
  std::string Bytes = Items.encode();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!PeerItems::decode(Bytes.substr(0, Size)));
}

// Guards against a mismatch between the writer and the parser of calls.
TEST(PeerItems, ParsingRestoresCalls) {
  auto Decoded = PeerItemsCall::parse(PeerItemsCall{77, 900ms}.call().m_Target);
  LONGS_EQUAL(77, Decoded->m_Revision);
  CHECK(Decoded->m_Wait == 900ms);
  for (const char *Target : {"/", "/peer/items-after/", "/peer/items-after/7",
                             "/peer/items-after/7/x", "/peer/items-after//5",
                             "/peer/items-after/7/5/1"})
    CHECK(!PeerItemsCall::parse(Target));
}

PARSLEYRING_TEST_MAIN
