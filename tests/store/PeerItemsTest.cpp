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
  Items.m_Version = {3, 6};
  Items.m_IsComplete = true;
  Items.m_Age = 1500ms;
  auto Decoded = PeerItems::decode(Items.encode());
  CHECK(Decoded.has_value());
  LONGS_EQUAL(3, Decoded->m_Version.m_Era);
  LONGS_EQUAL(6, Decoded->m_Version.m_Revision);
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
  auto Decoded =
      PeerItemsCall::parse(PeerItemsCall{{3, 77}, 900ms}.call().m_Target);
  CHECK(Decoded.has_value());
  LONGS_EQUAL(3, Decoded->m_Version.m_Era);
  LONGS_EQUAL(77, Decoded->m_Version.m_Revision);
  CHECK(Decoded->m_Wait == 900ms);
  for (const char *Target :
       {"/", "/peer/items-after/", "/peer/items-after/7",
        "/peer/items-after/7/x", "/peer/items-after//5",
        "/peer/items-after/7/5/", "/peer/items-after/7/5/x",
        "/peer/items-after/7/5/1/2", "/peer/items-after/7/-5",
        "/peer/items-after/7/18446744073709551615/1"})
    CHECK(!PeerItemsCall::parse(Target));
}

// Guards against VMs of two releases that cannot ask each other: an earlier one
// tells no era, neither in its calls nor with its items.
TEST(PeerItems, EraMayBeMissing) {
  auto Call = PeerItemsCall::parse("/peer/items-after/7/5");
  CHECK(Call.has_value());
  LONGS_EQUAL(0, Call->m_Version.m_Era);
  LONGS_EQUAL(7, Call->m_Version.m_Revision);
  auto Items = PeerItems::decode(std::string("\xa4\x65items\x80\x62"
                                             "at\x07\x68"
                                             "complete\xf5\x66"
                                             "age_us\x05"));
  CHECK(Items.has_value());
  CHECK(Items->m_Version == (StoreVersion{0, 7}));
}

// Guards against revisions of different eras that are compared.
TEST(PeerItems, AnyVersionOfANewEraIsNewer) {
  CHECK((StoreVersion{1, 90}) < (StoreVersion{2, 3}));
  CHECK(!((StoreVersion{2, 3}) <= (StoreVersion{1, 90})));
  CHECK((StoreVersion{2, 3}) < (StoreVersion{2, 4}));
}

PARSLEYRING_TEST_MAIN
