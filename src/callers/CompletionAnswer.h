#ifndef PARSLEYRING_CALLERS_COMPLETIONANSWER_H
#define PARSLEYRING_CALLERS_COMPLETIONANSWER_H

#include "callers/Answer.h"

#include <string>

namespace parsleyring {

/// Body of a whole answer to a completion.
std::string completionJson(const Answer &Ended, const CompletionPayload &Asked);

/// Writes the server-sent events of the tokens of one answer.
class TokenEventWriter {
public:
  TokenEventWriter(const std::string &RequestId, const std::string &Model);

  void append(std::string &Events, const std::string &Text,
              std::uint32_t Position) const;

private:
  std::string m_Head; ///< Equal in all events.
};

/// Last events of a stream: the finish reason with usage, or the error, and
/// the end mark.
std::string endEvents(const Answer &Ended, const CompletionPayload &Asked);

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_COMPLETIONANSWER_H
