#include "callers/CompletionHandler.h"

#include "callers/CompletionAnswer.h"
#include "callers/CompletionRequest.h"
#include "callers/Exchange.h"

namespace parsleyring {

void CompletionHandler::handle(Exchange &Call) const {
  RequestNumber Number = m_Context.m_NextRequestNumber();
  std::string Id = requestId(m_Context.m_Self, Number);
  Call.m_OnRefusal = [this, Number](const ErrorAnswer &Refusal) {
    m_Context.m_RecordRefusal(Number, Refusal);
  };
  std::optional<std::string> Body = Call.readBody(Id);
  if (!Body)
    return;
  std::vector<Finding> Findings;
  auto Payload = std::make_shared<CallerPayload>();
  Payload->m_RequestId = Id;
  Payload->m_AccountKeySha256 = Call.accountKeySha256();
  CompletionPayload Completion = parseCompletionRequest(*Body, Findings);
  if (!Findings.empty())
    return Call.refuse(400, "malformed-body", joinFindings(Findings), Id);
  if (std::optional<ErrorAnswer> Refusal = m_Context.m_Refusal()) {
    Refusal->m_RequestId = Id;
    return Call.refuse(*Refusal);
  }
  if (Completion.m_MaxTokens == 0)
    Completion.m_MaxTokens = m_Context.m_DefaultMaxTokens(Completion.m_Model);
  CompletionArrived Arrived =
      completionArrived(Number, Payload->m_AccountKeySha256, Completion);
  bool IsStreamed = Completion.m_IsStreamed;
  Payload->m_Content = std::move(Completion);
  std::shared_ptr<Answer> PendingAnswer =
      m_Context.m_Answers.create(Number, Payload);
  m_Context.m_Post(Arrived);
  if (IsStreamed)
    answerStreamed(Call, Number, std::move(PendingAnswer), std::move(Payload));
  else
    answerUnstreamed(Call, Number, PendingAnswer,
                     std::get<CompletionPayload>(Payload->m_Content));
}

void CompletionHandler::answerUnstreamed(
    Exchange &Call, RequestNumber Number,
    const std::shared_ptr<Answer> &PendingAnswer,
    const CompletionPayload &Payload) const {
  if (!Call.waitForEnd(m_Context, Number, *PendingAnswer))
    return;
  FinishRequest End = PendingAnswer->end();
  if (End.m_Outcome != Outcome::Completed)
    return ErrorAnswer::fromFinish(End, PendingAnswer->requestId())
        .writeTo(Call.m_Response);
  Call.m_Response.set_header("X-Outcome", std::string(name(End.m_Outcome)));
  Call.m_Response.set_header("X-Request-Id", PendingAnswer->requestId());
  Call.m_Response.set_content(completionJson(*PendingAnswer, Payload),
                              "application/json");
}

void CompletionHandler::answerStreamed(
    Exchange &Call, RequestNumber Number, std::shared_ptr<Answer> PendingAnswer,
    std::shared_ptr<const CallerPayload> Payload) const {
  // The status is not sent before the first token, so that an earlier error can
  // still set it.
  for (;;) {
    auto Progress = PendingAnswer->waitFor(0, CallerCheckInterval);
    if (!Progress.m_Tokens.empty())
      break;
    if (Progress.m_IsEnded &&
        PendingAnswer->end().m_Outcome != Outcome::Completed)
      return ErrorAnswer::fromFinish(PendingAnswer->end(),
                                     PendingAnswer->requestId())
          .writeTo(Call.m_Response);
    if (Progress.m_IsEnded)
      break;
    if (Call.m_Connection.isPeerDisconnected()) {
      m_Context.m_Post(CallerDisconnected{Number});
      return Call.m_Connection.closeAfterAnswer();
    }
  }
  Call.m_Response.set_header("X-Request-Id", PendingAnswer->requestId());
  Call.m_Response.set_header("Cache-Control", "no-cache");
  const auto &Completion = std::get<CompletionPayload>(Payload->m_Content);
  TokenEventWriter Writer(PendingAnswer->requestId(), Completion.m_Model);
  auto ProvideEvents = [this, Number, PendingAnswer, Payload, Writer,
                        Next = 0U](std::size_t,
                                   httplib::DataSink &Sink) mutable {
    auto Progress = PendingAnswer->waitFor(Next, CallerCheckInterval);
    std::string Events;
    for (const std::string &Text : Progress.m_Tokens)
      Writer.append(Events, Text, Next++);
    if (Progress.m_IsEnded)
      Events += endEvents(*PendingAnswer,
                          std::get<CompletionPayload>(Payload->m_Content));
    bool IsConnected = Events.empty()
                           ? Sink.is_writable()
                           : Sink.write(Events.data(), Events.size());
    if (!IsConnected) {
      m_Context.m_Post(CallerDisconnected{Number});
      return false;
    }
    if (Progress.m_IsEnded)
      Sink.done();
    return true;
  };
  Call.m_Response.set_chunked_content_provider("text/event-stream",
                                               std::move(ProvideEvents));
}

} // namespace parsleyring
