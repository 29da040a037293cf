#include "core/TomlNesting.h"

#include "core/TomlSection.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(TomlNesting){
    static std::string repeated(const std::string &Text,
                                int Count){std::string Result;
for (int Each = 0; Each < Count; ++Each)
  Result += Text;
return Result;
}
}
;

// Guards against deeply nested TOML text that overflows the parser's stack.
TEST(TomlNesting, TooDeepKeysAreReported) {
  for (const std::string &Text :
       {repeated("a.", 200000) + "a = 1", "[" + repeated("a.", 200000) + "a]",
        repeated("\"a\" . ", 200000) + "a = 1",
        "x = " + repeated("{a.a = ", 200000),
        "x = \"\"\"\\\"\"\"\"\"\n" + repeated("a.", 200000) + "a = 1",
        "x = '''\n'''''\n" + repeated("a.", 200000) + "a = 1",
        "x = \"\\\\\"\n" + repeated("a.", 200000) + "a = 1"}) {
    std::vector<Finding> Findings;
    TomlText Parsed("text", Text, Findings);
    CHECK_FALSE(Parsed.isParsed());
    LONGS_EQUAL(1, Findings.size());
    CHECK(Findings[0].m_Line > 0);
  }
  std::vector<Finding> Findings;
  // The deepest nesting of values and keys that the limits allow.
  TomlText Deepest(
      "text", "x = " + repeated("[{" + repeated("a.", 31) + "a =\n[\n", 100),
      Findings);
  LONGS_EQUAL(1, Findings.size());
}

// Guards against rejecting valid text because of dots in strings, comments or
// arrays.
TEST(TomlNesting, OtherDotsAreAllowed) {
  std::string Dots = repeated(".", 100);
  std::string Text = "a = \"" + Dots + "\" # " + Dots + "\nb = '" + Dots +
                     "'\nc = \"\"\"" + Dots + "\n\"" + Dots + "\\\"\"\"" +
                     Dots + "\"\"\"\"\"\nd = '''" + Dots + "''" + Dots +
                     "'''\ne = [" + repeated("1.5, ", 100) +
                     "]\nf = \"\\\\\"\n\"g" + Dots + "\" = ''\n";
  std::vector<Finding> Findings;
  TomlText Parsed("text", Text, Findings);
  CHECK_TEXT(Parsed.isParsed(),
             Findings.empty() ? "" : toString(Findings[0]).c_str());
  LONGS_EQUAL(0, lineOfTooDeepTomlKey("\"a"));
  LONGS_EQUAL(0, lineOfTooDeepTomlKey("'"));
  LONGS_EQUAL(0, lineOfTooDeepTomlKey("\"\"\"\\"));
}

PARSLEYRING_TEST_MAIN
