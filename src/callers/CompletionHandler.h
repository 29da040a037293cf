#ifndef PARSLEYRING_CALLERS_COMPLETIONHANDLER_H
#define PARSLEYRING_CALLERS_COMPLETIONHANDLER_H

#include "callers/CallerContext.h"

namespace parsleyring {

struct Exchange;

/// Handles POST /v1/completions, streamed or not.
class CompletionHandler {
public:
  explicit CompletionHandler(const CallerContext &Context)
      : m_Context(Context) {}

  void handle(Exchange &Call) const;

private:
  void answerUnstreamed(Exchange &Call, RequestNumber Number,
                        const std::shared_ptr<Answer> &PendingAnswer,
                        const CompletionPayload &Payload) const;
  void answerStreamed(Exchange &Call, RequestNumber Number,
                      std::shared_ptr<Answer> PendingAnswer,
                      std::shared_ptr<const CallerPayload> Payload) const;

  const CallerContext &m_Context;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_COMPLETIONHANDLER_H
