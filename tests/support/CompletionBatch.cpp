#include "support/CompletionBatch.h"

#include "emulator/TokenText.h"
#include "support/Eventually.h"

#include <nlohmann/json.hpp>

namespace parsleyring {

using Json = nlohmann::json;

/// Text of a streamed answer; End is set to the last event. Throws
/// std::runtime_error at the first error in the format.
static std::string streamedText(const HttpAnswer &Answer, unsigned Tokens,
                                Json &End) {
  std::vector<std::string> Events = eventData(Answer.m_Body);
  if (Events.size() < 2 || Events.back() != "[DONE]")
    throw std::runtime_error("the stream does not end with [DONE]");
  Events.pop_back();
  End = Json::parse(Events.back());
  Events.pop_back();
  if (End.contains("error"))
    throw std::runtime_error("the stream ends with an error: " + End.dump());
  std::string Text;
  for (std::size_t Position = 0; Position < Events.size(); ++Position) {
    Json Event = Json::parse(Events[Position]);
    if (Event.at("position") != Position || Event.at("id") != End.at("id"))
      throw std::runtime_error("wrong position or id in event " +
                               Events[Position]);
    Text += Event.at("choices").at(0).at("text");
  }
  if (Events.size() != Tokens)
    throw std::runtime_error(std::to_string(Events.size()) +
                             " tokens received");
  return Text;
}

std::string answerProblem(const HttpAnswer &Answer, const std::string &Prompt,
                          unsigned Tokens, bool IsStreamed) try {
  if (Answer.m_Status != 200)
    return "status " + std::to_string(Answer.m_Status) + " " + Answer.m_Body;
  Json End;
  std::string Text;
  if (IsStreamed) {
    Text = streamedText(Answer, Tokens, End);
  } else {
    End = Json::parse(Answer.m_Body);
    Text = End.at("choices").at(0).at("text");
  }
  if (Text != answerText(Prompt, Tokens))
    return "wrong text:" + Text;
  if (End.at("id") != Answer.header("X-Request-Id"))
    return "the id differs from X-Request-Id: " + End.dump();
  if (End.at("outcome") != "completed" ||
      End.at("usage").at("completion_tokens") != Tokens ||
      End.at("choices").at(0).at("finish_reason") != "length")
    return "wrong outcome, usage or finish reason: " + End.dump();
  return {};
} catch (const std::exception &Error) {
  return Error.what();
}

CompletionBatch::CompletionBatch(const TestCluster &Cluster, unsigned Callers,
                                 unsigned Tokens)
    : m_Cluster(Cluster), m_Tokens(Tokens), m_Callers(Callers) {
  std::vector<std::string> Routers = Cluster.routerNames();
  for (unsigned Index = 0; Index < Callers; ++Index) {
    Caller &Next = m_Callers[Index];
    Next.m_Router = Routers[Index % Routers.size()];
    Next.m_Prompt = "the question of caller " + std::to_string(Index);
    Next.m_IsStreamed = Index % 3 != 0;
  }
  for (Caller &Next : m_Callers)
    Next.m_Thread = std::thread([this, &Next] { run(Next); });
}

CompletionBatch::~CompletionBatch() { problems(); }

void CompletionBatch::run(Caller &Subject) {
  HttpRequest Call{"POST", "/v1/completions",
                   Json{{"model", "ledger"},
                        {"prompt", Subject.m_Prompt},
                        {"max_tokens", m_Tokens},
                        {"stream", Subject.m_IsStreamed}}
                       .dump()};
  // Longer than the time limit of the request, so that the router ends the
  // request.
  Call.m_Timeout = std::chrono::seconds(150);
  Call.m_OnChunk = [&](std::string_view) {
    m_Chunks += Subject.m_IsStreamed;
    return true;
  };
  Subject.m_Answer = m_Cluster.send(Subject.m_Router, Call);
  ++m_Ended;
}

bool CompletionBatch::waitForChunks(unsigned Count) const {
  return eventually([&] {
           return m_Chunks >= Count || m_Ended == m_Callers.size();
         }) &&
         m_Chunks >= Count;
}

std::string CompletionBatch::problems() {
  std::string Result;
  for (Caller &Each : m_Callers) {
    if (Each.m_Thread.joinable())
      Each.m_Thread.join();
    std::string Problem = answerProblem(Each.m_Answer, Each.m_Prompt, m_Tokens,
                                        Each.m_IsStreamed);
    if (!Problem.empty())
      Result += Each.m_Router + ", " + Each.m_Prompt + ": " + Problem + "\n";
  }
  return Result;
}

std::vector<std::string> CompletionBatch::requests() const {
  std::vector<std::string> Result;
  for (const Caller &Each : m_Callers)
    Result.push_back(Each.m_Answer.header("X-Request-Id"));
  return Result;
}

} // namespace parsleyring
