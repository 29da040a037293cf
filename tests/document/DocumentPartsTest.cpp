#include "document/DocumentParts.h"

#include "document/DocumentDifference.h"
#include "document/DocumentWriter.h"
#include "support/Findings.h"
#include "support/SampleDocument.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(DocumentParts){
    static Document read(const std::string &Text){std::vector<Finding> Findings;
DocumentReader Reader;
Reader.add("text", Text, Findings);
STRCMP_EQUAL("", describeFindings(Findings).c_str());
return Reader.takeDocument();
}
}
;

// Guards against content lost between writer, parts and reader.
TEST(DocumentParts, RoundTrip) {
  Document Value = sampleDocument(20);
  Value.m_Accounts[3].m_Name = "quote \" back \\ line\n \xc3\xa9";
  Value.m_Accounts[4].m_Share = 0.1;
  Value.m_Accounts[5].m_RequestsPerSecond = 1e21;
  Value.m_Accounts[6].m_KeySha256.push_back(sha256Hex("second"));
  Value.m_Policy = {Preference::Throughput, "round-robin"};
  std::string Text = DocumentWriter::write(Value);
  STRCMP_EQUAL(Text.c_str(), DocumentWriter::write(read(Text)).c_str());
  std::string Joined;
  std::vector<Finding> Findings;
  DocumentReader Reader;
  std::vector<DocumentPart> Parts = splitDocument(Value);
  for (const DocumentPart &Part : Parts) {
    Joined += Part.m_Text;
    Reader.add(Part.m_Name, Part.m_Text, Findings);
  }
  LONGS_EQUAL(0, Findings.size());
  LONGS_EQUAL(0, documentDifference(Value, Reader.document()).size());
  LONGS_EQUAL(0, documentDifference(Value, read(Joined)).size());
  LONGS_EQUAL(20, Reader.document().m_Accounts.size());
}

// Guards against a bucket hash that differs between library versions or
// machines, which would rewrite all parts.
TEST(DocumentParts, BucketsAreStable) {
  STRCMP_EQUAL("accounts-cc",
               accountPartName(accountBucket("account-0")).c_str());
  STRCMP_EQUAL("accounts-9b",
               accountPartName(accountBucket("account-1")).c_str());
}

// Guards against a small change that rewrites many parts.
TEST(DocumentParts, AccountChangeRewritesOnePart) {
  Document Value = sampleDocument(2000);
  std::vector<DocumentPart> Before = splitDocument(Value);
  Value.m_Accounts[77].m_Share = 5;
  std::vector<DocumentPart> After = splitDocument(Value);
  LONGS_EQUAL(Before.size(), After.size());
  unsigned Changed = 0;
  for (std::size_t At = 0; At < Before.size(); ++At)
    Changed += Before[At].m_Text != After[At].m_Text;
  LONGS_EQUAL(1, Changed);
}

// Guards against changes that are missing from the list of differences, which
// a second operator reviews.
TEST(DocumentParts, DifferenceNamesEachChange) {
  Document From = sampleDocument(3);
  Document To = From;
  LONGS_EQUAL(0, documentDifference(From, To).size());
  To.m_Policy.m_Preference = Preference::Throughput;
  To.m_Accounts[0].m_Share = 2.5;
  To.m_Accounts[1].m_Name = "renamed";
  To.m_Pools[0].m_Endpoints.pop_back();
  To.m_Pools[0].m_Endpoints[0].m_Slots = 9;
  To.m_Pools[1].m_Name = "archive";
  To.m_Rules.insert(To.m_Rules.begin(), {"archive", "*", "/", true});
  To.m_Links[0].m_OneWayMicros = 900;
  To.m_Pipelines[0].m_Layers = 4;
  std::string Lines;
  for (const std::string &Line : documentDifference(From, To))
    Lines += Line + "\n";
  STRCMP_EQUAL("policy: preference \"recovery\" -> \"throughput\"\n"
               "pipeline \"ledger\": layers 8 -> 4\n"
               "pool \"registry\": removed\n"
               "pool \"archive\": added\n"
               "pool \"engines\" endpoint \"full-a\": slots 8 -> 9\n"
               "pool \"engines\" endpoint \"high-c\": removed\n"
               "pool \"registry\" endpoint \"registry-a\": removed\n"
               "pool \"archive\" endpoint \"registry-a\": added\n"
               "rule archive * /: added\n"
               "link \"fd-a\" to \"fd-b\": one_way_micros 800 -> 900\n"
               "account \"account-0\": share 1 -> 2.5\n"
               "account \"account-1\": removed\n"
               "account \"renamed\": added\n",
               Lines.c_str());
  To = From;
  To.m_Rules.push_back({"registry", "*", "/", true});
  From = To;
  std::swap(To.m_Rules[0], To.m_Rules[1]);
  STRCMP_EQUAL("rules: order changed",
               documentDifference(From, To).front().c_str());
}

PARSLEYRING_TEST_MAIN
