#include "support/HttpCalls.h"

#include <httplib.h>

namespace parsleyring {

static constexpr std::chrono::seconds ConnectTimeout{10};

std::string HttpAnswer::header(const std::string &Name) const {
  auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

HttpAnswer sendHttp(const std::string &Address, const HttpRequest &Call) {
  httplib::Client Client("http://" + Address);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_read_timeout(Call.m_Timeout);
  Client.set_write_timeout(Call.m_Timeout);
  Client.set_tcp_nodelay(true);
  httplib::Request Request;
  Request.method = Call.m_Method;
  Request.path = Call.m_Path;
  Request.body = Call.m_Body;
  for (const auto &[Name, Value] : Call.m_Headers)
    Request.set_header(Name, Value);
  HttpAnswer Answer;
  Request.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    Answer.m_Body.append(Data, Size);
    return !Call.m_OnChunk || Call.m_OnChunk({Data, Size});
  };
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  if (Client.send(Request, Response, Error))
    Answer.m_Status = Response.status;
  Answer.m_IsConnectionRefused = Error == httplib::Error::Connection;
  for (const auto &[Name, Value] : Response.headers)
    Answer.m_Headers[Name] = Value;
  return Answer;
}

} // namespace parsleyring
