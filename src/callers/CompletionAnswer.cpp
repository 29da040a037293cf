#include "callers/CompletionAnswer.h"

#include "callers/CompletionRequest.h"
#include "callers/ErrorAnswer.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace parsleyring {

using Json = nlohmann::json;

static std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static std::string formatEvent(const std::string &Data) {
  return "data: " + Data + "\n\n";
}

static Json usage(std::size_t Tokens, const CompletionPayload &Completion) {
  std::uint32_t PromptTokens = estimatedTokens(Completion.m_Prompt);
  return {{"prompt_tokens", PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", PromptTokens + Tokens}};
}

static std::string finishReason(const Answer &EndedAnswer) {
  std::string Reason = EndedAnswer.finishReason();
  // The reason is missing if the engine failed after the last requested token.
  return Reason.empty() ? "length" : Reason;
}

std::string completionJson(const Answer &EndedAnswer,
                           const CompletionPayload &Completion) {
  auto Tokens = EndedAnswer.tokens(std::numeric_limits<std::uint32_t>::max());
  std::string Text;
  for (const std::string &Token : Tokens)
    Text += Token;
  return dump({{"id", EndedAnswer.requestId()},
               {"object", "text_completion"},
               {"model", Completion.m_Model},
               {"choices",
                {{{"index", 0},
                  {"text", Text},
                  {"finish_reason", finishReason(EndedAnswer)}}}},
               {"usage", usage(Tokens.size(), Completion)},
               {"outcome", name(EndedAnswer.end().m_Outcome)}});
}

TokenEventWriter::TokenEventWriter(const std::string &RequestId,
                                   const std::string &Model)
    : m_Head("data: {\"id\":" + dump(RequestId) +
             ",\"object\":\"text_completion\",\"model\":" + dump(Model) +
             ",\"choices\":[{\"index\":0,\"text\":") {}

void TokenEventWriter::append(std::string &Events, const std::string &Text,
                              std::uint32_t Position) const {
  Events += m_Head;
  Events += dump(Text);
  Events += ",\"finish_reason\":null}],\"position\":";
  Events += std::to_string(Position);
  Events += "}\n\n";
}

std::string endEvents(const Answer &EndedAnswer,
                      const CompletionPayload &Completion) {
  static const std::string DoneEvent = formatEvent("[DONE]");
  FinishRequest End = EndedAnswer.end();
  if (End.m_Outcome != Outcome::Completed)
    return formatEvent(
               ErrorAnswer::fromFinish(End, EndedAnswer.requestId()).toJson()) +
           DoneEvent;
  std::size_t Count =
      EndedAnswer.tokens(std::numeric_limits<std::uint32_t>::max()).size();
  return formatEvent(dump({{"id", EndedAnswer.requestId()},
                           {"object", "text_completion"},
                           {"model", Completion.m_Model},
                           {"choices",
                            {{{"index", 0},
                              {"text", ""},
                              {"finish_reason", finishReason(EndedAnswer)}}}},
                           {"usage", usage(Count, Completion)},
                           {"outcome", name(End.m_Outcome)}})) +
         DoneEvent;
}

} // namespace parsleyring
