#ifndef PARSLEYRING_CALLERS_COMPLETIONANSWER_H
#define PARSLEYRING_CALLERS_COMPLETIONANSWER_H

#include "callers/Answer.h"

#include <string>

namespace parsleyring {

/// JSON body of the answer to a completion that is not streamed.
std::string completionJson(const Answer &EndedAnswer,
                           const CompletionPayload &Completion);

/// Formats the tokens of one answer as server-sent events.
class TokenEventWriter {
public:
  TokenEventWriter(const std::string &RequestId, const std::string &Model);

  void append(std::string &Events, const std::string &Text,
              std::uint32_t Position) const;

private:
  std::string m_Head; ///< Common start of all events.
};

/// Last events of a stream: the finish reason and usage, or the error; then
/// "[DONE]".
std::string endEvents(const Answer &EndedAnswer,
                      const CompletionPayload &Completion);

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_COMPLETIONANSWER_H
