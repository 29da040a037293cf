#ifndef PARSLEYRING_CALLERS_CALLERPAYLOAD_H
#define PARSLEYRING_CALLERS_CALLERPAYLOAD_H

#include "parsleyring/Types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace parsleyring {

/// A completion as the caller asked for it.
struct CompletionPayload {
  std::string m_Model;
  std::string m_Prompt;
  std::uint32_t m_MaxTokens = 0; ///< 0: the caller asked for no number.
  std::int32_t m_Priority = 0;
  bool m_IsStreamed = false;
  /// Further fields of the body, a JSON object; the engine interprets them.
  std::string m_ExtraJson = "{}";
};

/// A call of a plain service as it is passed on.
struct ServicePayload {
  std::string m_Method;
  std::string m_Target; ///< Path and query below the pool, with "/".
  std::string m_ContentType;
  std::string m_IdempotencyKey;
  std::string m_Body;
};

/// The part of a request that the Router does not see.
struct CallerPayload {
  std::string m_RequestId;
  std::string m_AccountKeySha256;
  std::variant<CompletionPayload, ServicePayload> m_Content;
};

/// A whole answer of a plain service.
struct ServiceAnswer {
  int m_Status = 0;
  std::vector<std::pair<std::string, std::string>> m_Headers; ///< End-to-end.
  std::string m_Body;

  std::string contentType() const;
};

} // namespace parsleyring

#endif // PARSLEYRING_CALLERS_CALLERPAYLOAD_H
