#ifndef PARSLEYRING_CALLERS_CALLERPAYLOAD_H
#define PARSLEYRING_CALLERS_CALLERPAYLOAD_H

#include "parsleyring/Types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace parsleyring {

/// Parameters of a completion request.
struct CompletionPayload {
  std::string m_Model;
  std::string m_Prompt;
  std::uint32_t m_MaxTokens = 0; ///< 0 if not given by the caller.
  std::int32_t m_Priority = 0;
  bool m_IsStreamed = false;
  /// Other fields of the body as a JSON object; passed on to the engine.
  std::string m_ExtraJson = "{}";
};

/// Call to a plain service as it is forwarded.
struct ServicePayload {
  std::string m_Method;
  std::string m_Target; ///< Path and query after the pool; starts with "/".
  std::string m_ContentType;
  std::string m_IdempotencyKey;
  std::string m_Body;
};

/// The content of a request, which is not passed to the Router.
struct CallerPayload {
  std::string m_RequestId;
  std::string m_AccountKeySha256;
  std::variant<CompletionPayload, ServicePayload> m_Content;
};

/// Complete answer of a plain service.
struct ServiceAnswer {
  int m_Status = 0;
  std::vector<std::pair<std::string, std::string>>
      m_Headers; ///< Without hop-by-hop ones.
  std::string m_Body;

  /// Value of the Content-Type header; empty if absent.
  std::string contentType() const;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERPAYLOAD_H
