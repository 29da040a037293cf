#include "http/MessageBytes.h"

#include <string_view>

namespace parsleyring {

static std::size_t headerBytes(const httplib::Headers &Headers) {
  static constexpr std::string_view Separators = ": \r\n";
  std::size_t Bytes = 0;
  for (const auto &[Name, Value] : Headers)
    Bytes += Name.size() + Value.size() + Separators.size();
  return Bytes;
}

std::uint64_t messageBytes(const httplib::Request &Request,
                           const httplib::Response &Response,
                           std::size_t AnswerBytes) {
  static constexpr std::string_view FirstLines =
      "  HTTP/1.1\r\n\r\nHTTP/1.1 200 \r\n\r\n";
  return FirstLines.size() + Request.method.size() + Request.path.size() +
         Response.reason.size() + headerBytes(Request.headers) +
         headerBytes(Response.headers) + Request.body.size() + AnswerBytes;
}

} // namespace parsleyring
