#include "platform/HttpPlatformClient.h"

#include "core/Base64.h"

#include "core/SocketAddress.h"
#include "http/MessageBytes.h"
#include "http/ResponseHead.h"

#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleyring {

using Json = nlohmann::json;
using Kind = PlatformError::Kind;

/// Time after the wait until a watch counts as frozen. By the published format
/// the service answers at the end of the wait plus up to a sixteenth of it.
static constexpr Duration WatchGrace = std::chrono::seconds(3);
/// Values have at most 1 MB, which base64 encodes as 1.4 MB.
static constexpr std::size_t MaxAnswerBytes = 4 << 20;

static constexpr int StatusOk = 200;
static constexpr int StatusNotFound = 404;
static constexpr int StatusTooManyRequests = 429;

enum class Effect { None, Write };

/// Builds the path of a key; percent-encodes all but "/" and the unreserved
/// characters of RFC 3986.
static std::string keyPath(const std::string &Key) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  static constexpr std::string_view Unescaped = "-._~/";
  std::string Path = "/v1/kv/";
  for (char Character : Key) {
    auto Code = static_cast<unsigned char>(Character);
    if (std::isalnum(Code) || Unescaped.find(Character) != Unescaped.npos) {
      Path += Character;
      continue;
    }
    Path += '%';
    Path += Digits[Code >> 4];
    Path += Digits[Code & 15];
  }
  return Path;
}

static std::string formatWait(Duration Wait) {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Wait);
  if (Millis.count() % 1000 == 0)
    return std::to_string(Millis.count() / 1000) + "s";
  return std::to_string(Millis.count()) + "ms";
}

/// Parses an answer of the form [{Key, Value, ModifyIndex}].
static PlatformValue parseValue(const std::string &Body) {
  Json Parsed = Json::parse(Body, nullptr, false);
  if (Parsed.is_array() && Parsed.size() == 1 && Parsed[0].is_object()) {
    Json Index = Parsed[0].value("ModifyIndex", Json());
    Json Value = Parsed[0].value("Value", Json());
    // The published format encodes an empty value as null.
    std::optional<std::string> Text =
        Value.is_string() ? decodeBase64(Value.get<std::string>())
        : Value.is_null() ? std::optional<std::string>("")
                          : std::nullopt;
    if (Index.is_number_unsigned() && Text)
      return {std::move(*Text), Index.get<std::uint64_t>()};
  }
  throw PlatformError(Kind::NoEffect, "platform answered with malformed JSON");
}

/// Only errors that precede the first byte prove that nothing was sent.
static bool isBeforeSending(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::BindIPAddress;
}

class HttpPlatformClient::Implementation {
public:
  Implementation(const std::string &Address, Duration Timeout,
                 std::function<void(std::uint64_t)> CountBytes)
      : m_Timeout(Timeout), m_CountBytes(std::move(CountBytes)) {
    std::optional<SocketAddress> Parsed = parseSocketAddress(Address);
    if (!Parsed)
      throw std::invalid_argument("platform address is not IP:port: " +
                                  Address);
    m_Address = *Parsed;
  }

  httplib::Response call(const std::string &Method, const std::string &Target,
                         const std::string &Body, Duration AnswerTimeout,
                         Effect CallEffect) {
    httplib::Client Client(m_Address.m_Host, m_Address.m_Port);
    Client.set_connection_timeout(m_Timeout);
    Client.set_write_timeout(m_Timeout);
    Client.set_read_timeout(AnswerTimeout);
    Client.set_keep_alive(false);
    Client.set_tcp_nodelay(true);
    Client.set_url_encode(false);

    httplib::Request Request;
    Request.method = Method;
    Request.path = Target;
    Request.body = Body;
    std::string Answer;
    auto Deadline =
        std::chrono::steady_clock::now() + m_Timeout + AnswerTimeout;
    // The read timeout restarts with each received piece, so an answer that
    // arrives in small pieces needs an overall limit.
    Request.content_receiver = [&](const char *Data, std::size_t Length,
                                   std::uint64_t, std::uint64_t) {
      Answer.append(Data, Length);
      return Answer.size() <= MaxAnswerBytes &&
             std::chrono::steady_clock::now() < Deadline;
    };

    Registration Registered(*this, Client);
    httplib::Response Response;
    httplib::Error Error = httplib::Error::Success;
    bool IsComplete = Client.send(Request, Response, Error);
    if (m_CountBytes)
      m_CountBytes(messageBytes(Request, Response, Answer.size()));
    if (!IsComplete)
      throw PlatformError(
          CallEffect == Effect::None || isBeforeSending(Error) ? Kind::NoEffect
                                                               : Kind::Unknown,
          Method + " " + Target + ": " + httplib::to_string(Error));
    std::string Finding = checkResponseHead(Response);
    if (!Finding.empty())
      throw PlatformError(CallEffect == Effect::None ? Kind::NoEffect
                                                     : Kind::Unknown,
                          Method + " " + Target + ": " + Finding);
    Response.body = std::move(Answer);
    return Response;
  }

  Duration timeout() const { return m_Timeout; }

  void shutDown() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_IsShutDown = true;
    // Repeats stop(), which has no effect on a call that has not connected yet.
    while (!m_Active.empty()) {
      for (httplib::Client *Client : m_Active)
        Client->stop();
      m_Ended.wait_for(Lock, StopInterval);
    }
  }

private:
  static constexpr std::chrono::milliseconds StopInterval{10};

  /// Registers the client of a call in progress in m_Active.
  struct Registration {
    Registration(Implementation &Owner, httplib::Client &Client)
        : m_Owner(Owner), m_Client(Client) {
      std::lock_guard<std::mutex> Lock(m_Owner.m_Mutex);
      if (m_Owner.m_IsShutDown)
        throw PlatformError(Kind::NoEffect, "platform client is shut down");
      m_Owner.m_Active.insert(&m_Client);
    }
    ~Registration() {
      std::lock_guard<std::mutex> Lock(m_Owner.m_Mutex);
      m_Owner.m_Active.erase(&m_Client);
      m_Owner.m_Ended.notify_all();
    }
    Implementation &m_Owner;
    httplib::Client &m_Client;
  };

  SocketAddress m_Address;
  const Duration m_Timeout;
  const std::function<void(std::uint64_t)> m_CountBytes;
  std::mutex m_Mutex;
  std::condition_variable m_Ended;
  std::set<httplib::Client *> m_Active;
  bool m_IsShutDown = false;
};

static PlatformError statusError(const std::string &Target,
                                 const httplib::Response &Response,
                                 Effect CallEffect) {
  std::string What = Target + ": status " + std::to_string(Response.status);
  if (Response.status == StatusTooManyRequests)
    return {Kind::RateLimited, What};
  // A 4xx status means that the call was refused; after a 5xx status a write
  // may still take effect.
  bool IsRefused = Response.status >= 400 && Response.status < 500;
  return {CallEffect == Effect::None || IsRefused ? Kind::NoEffect
                                                  : Kind::Unknown,
          What};
}

HttpPlatformClient::HttpPlatformClient(
    const std::string &Address, Duration Timeout,
    std::function<void(std::uint64_t)> CountBytes)
    : m_Implementation(std::make_unique<Implementation>(
          Address, Timeout, std::move(CountBytes))) {}

HttpPlatformClient::~HttpPlatformClient() = default;

void HttpPlatformClient::shutDown() { m_Implementation->shutDown(); }

std::optional<PlatformValue> HttpPlatformClient::read(const std::string &Key) {
  std::string Target = keyPath(Key);
  httplib::Response Response = m_Implementation->call(
      "GET", Target, "", m_Implementation->timeout(), Effect::None);
  if (Response.status == StatusNotFound)
    return std::nullopt;
  if (Response.status != StatusOk)
    throw statusError(Target, Response, Effect::None);
  return parseValue(Response.body);
}

PlatformClient::WatchResult HttpPlatformClient::watch(const std::string &Key,
                                                      std::uint64_t After,
                                                      Duration Wait) {
  std::string Target = keyPath(Key);
  Duration Timeout = m_Implementation->timeout();
  // Without an index the service answers immediately.
  if (After > 0) {
    Target += "?index=" + std::to_string(After) + "&wait=" + formatWait(Wait);
    Timeout = Wait + WatchGrace;
  }
  httplib::Response Response =
      m_Implementation->call("GET", Target, "", Timeout, Effect::None);
  if (Response.status != StatusOk && Response.status != StatusNotFound)
    throw statusError(Target, Response, Effect::None);
  WatchResult Result;
  std::string Index = Response.get_header_value("X-Consul-Index");
  Result.m_Index = std::strtoull(Index.c_str(), nullptr, 10);
  // Index 0 would turn the next watch into an immediate read, and the watch
  // loop into a busy loop.
  if (Result.m_Index == 0)
    throw PlatformError(Kind::NoEffect, Target + ": no X-Consul-Index");
  // By the published format, the watch restarts from 0 when the index goes
  // backwards.
  if (Result.m_Index < After)
    Result.m_Index = 0;
  if (Response.status == StatusOk)
    Result.m_Value = parseValue(Response.body);
  return Result;
}

/// Parses "true" or "false"; any other answer leaves the effect of the write
/// unknown.
static bool parseWriteAnswer(const std::string &Target,
                             const httplib::Response &Response) {
  if (Response.status != StatusOk)
    throw statusError(Target, Response, Effect::Write);
  std::string Text =
      Response.body.substr(0, Response.body.find_first_of("\r\n"));
  if (Text != "true" && Text != "false")
    throw PlatformError(Kind::Unknown, Target + ": neither true nor false");
  return Text == "true";
}

bool HttpPlatformClient::compareAndSwap(const std::string &Key,
                                        const std::string &Value,
                                        std::uint64_t Expected) {
  std::string Target = keyPath(Key) + "?cas=" + std::to_string(Expected);
  return parseWriteAnswer(Target,
                          m_Implementation->call("PUT", Target, Value,
                                                 m_Implementation->timeout(),
                                                 Effect::Write));
}

bool HttpPlatformClient::remove(const std::string &Key,
                                std::uint64_t Expected) {
  std::string Target = keyPath(Key) + "?cas=" + std::to_string(Expected);
  return parseWriteAnswer(Target,
                          m_Implementation->call("DELETE", Target, "",
                                                 m_Implementation->timeout(),
                                                 Effect::Write));
}

} // namespace parsleyring
