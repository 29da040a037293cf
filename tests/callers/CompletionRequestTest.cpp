#include "callers/CompletionRequest.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(CompletionRequest){
    static std::string findings(const char *Body){std::vector<Finding> Findings;
parseCompletionRequest(Body, Findings);
return joinFindings(Findings);
}
}
;

// Guards against syntax errors that are reported without line and column.
TEST(CompletionRequest, SyntaxErrorsHaveAPosition) {
  STRCMP_CONTAINS("line 1, column 1:", findings("").c_str());
  STRCMP_CONTAINS("line 1, column 12:", findings("{\"model\": 1x}").c_str());
  STRCMP_CONTAINS("line 2, column 3:", findings("{\n  x}").c_str());
  STRCMP_CONTAINS("line 1, column 1:", findings("[]").c_str());
}

// Guards against reporting only the first of several errors.
TEST(CompletionRequest, AllFieldErrorsAreReported) {
  std::string All = findings("{\"prompt\": 7, \"max_tokens\": 0, \"stream\": "
                             "\"yes\", \"priority\": 1e20, \"n\": 2}");
  for (const char *Expected :
       {"model: is missing", "prompt: must be", "max_tokens: must be",
        "stream: must be", "priority: must be", "n: must be"})
    STRCMP_CONTAINS(Expected, All.c_str());
}

// Guards against fields that are lost or misread before the engine gets them.
TEST(CompletionRequest, KnownAndExtraFieldsAreParsed) {
  std::vector<Finding> Findings;
  auto Completion = parseCompletionRequest(
      "{\"model\": \"m\", \"prompt\": \"p\", \"max_tokens\": 3, \"stream\": "
      "true, \"priority\": -2, \"temperature\": 0.5, \"pipeline\": {}}",
      Findings);
  CHECK(Findings.empty());
  LONGS_EQUAL(3, Completion.m_MaxTokens);
  LONGS_EQUAL(-2, Completion.m_Priority);
  CHECK(Completion.m_IsStreamed);
  STRCMP_EQUAL("{\"temperature\":0.5}", Completion.m_ExtraJson.c_str());
}

// Guards against different prefix hashes for prompts with equal prefixes.
TEST(CompletionRequest, PrefixHashesCoverFullSteps) {
  CompletionPayload Completion;
  Completion.m_Prompt = std::string(700, 'a');
  auto Longer = completionArrived(1, "", Completion);
  Completion.m_Prompt.resize(256);
  auto Shorter = completionArrived(2, "", Completion);
  LONGS_EQUAL(2, Longer.m_PrefixHashes.size());
  LONGS_EQUAL(1, Shorter.m_PrefixHashes.size());
  CHECK(Longer.m_PrefixHashes[0] == Shorter.m_PrefixHashes[0]);
  LONGS_EQUAL(175, Longer.m_PromptTokens);
}

PARSLEYRING_TEST_MAIN
