#ifndef PARSLEYRING_GATEWAY_STREAMREQUESTFIELDS_H
#define PARSLEYRING_GATEWAY_STREAMREQUESTFIELDS_H

#include "gateway/EndpointProtocol.h"
#include "gateway/ForwardContext.h"

#include <string>
#include <vector>

namespace parsleyring {

/// What the header fields of a stream request state about it.
struct StreamRequestFields {
  StreamRequestFields(const ForwardJob &Job, const HeaderNames &Names);

  double m_PromptTokens = 0;
  double m_AnswerTokens = 0;
  /// Ids of the parts of the prompt that other requests may have, too.
  std::vector<std::string> m_SharedParts;
  /// Of the last event that the caller has; 0 if it has none.
  std::uint64_t m_LastEventId = 0;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMREQUESTFIELDS_H
