#include "callers/CallerPayload.h"

#include <strings.h>

namespace parsleyring {

std::string ServiceAnswer::contentType() const {
  for (const auto &[Name, Value] : m_Headers)
    if (::strcasecmp(Name.c_str(), "Content-Type") == 0)
      return Value;
  return {};
}

} // namespace parsleyring
