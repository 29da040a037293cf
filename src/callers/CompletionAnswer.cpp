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

static std::string event(const std::string &Data) {
  return "data: " + Data + "\n\n";
}

static Json usage(std::size_t Tokens, const CompletionPayload &Asked) {
  std::uint32_t PromptTokens = estimatedTokens(Asked.m_Prompt);
  return {{"prompt_tokens", PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", PromptTokens + Tokens}};
}

static std::string finishReason(const Answer &Ended) {
  std::string Reason = Ended.finishReason();
  // The reason is missing if the engine failed after the last requested token.
  return Reason.empty() ? "length" : Reason;
}

std::string completionJson(const Answer &Ended,
                           const CompletionPayload &Asked) {
  auto Tokens = Ended.tokens(std::numeric_limits<std::uint32_t>::max());
  std::string Text;
  for (const std::string &Token : Tokens)
    Text += Token;
  return dump({{"id", Ended.requestId()},
               {"object", "text_completion"},
               {"model", Asked.m_Model},
               {"choices",
                {{{"index", 0},
                  {"text", Text},
                  {"finish_reason", finishReason(Ended)}}}},
               {"usage", usage(Tokens.size(), Asked)},
               {"outcome", name(Ended.end().m_Outcome)}});
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

std::string endEvents(const Answer &Ended, const CompletionPayload &Asked) {
  static const std::string EndMark = event("[DONE]");
  FinishRequest End = Ended.end();
  if (End.m_Outcome != Outcome::Completed)
    return event(ErrorAnswer::fromFinish(End, Ended.requestId()).toJson()) +
           EndMark;
  std::size_t Count =
      Ended.tokens(std::numeric_limits<std::uint32_t>::max()).size();
  return event(dump({{"id", Ended.requestId()},
                     {"object", "text_completion"},
                     {"model", Asked.m_Model},
                     {"choices",
                      {{{"index", 0},
                        {"text", ""},
                        {"finish_reason", finishReason(Ended)}}}},
                     {"usage", usage(Count, Asked)},
                     {"outcome", name(End.m_Outcome)}})) +
         EndMark;
}

} // namespace parsleyring
