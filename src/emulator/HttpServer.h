#ifndef PARSLEYRING_EMULATOR_HTTPSERVER_H
#define PARSLEYRING_EMULATOR_HTTPSERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace parsleyring {

/// A request that an emulator received.
struct HttpCall {
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  std::map<std::string, std::string> m_Headers; ///< Names in lower case.
  std::map<std::string, std::string> m_Query;

  /// Empty if the header is absent. Name is in lower case.
  std::string header(const std::string &Name) const;
  /// Fallback if the parameter is absent.
  std::string query(const std::string &Name,
                    const std::string &Fallback = {}) const;
  bool hasQuery(const std::string &Name) const;
};

/// The body of an answer that is sent piece by piece.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  /// Returns false if the connection is gone.
  virtual bool write(std::string_view Piece) = 0;
  virtual bool isOpen() const = 0;
};

struct HttpReply {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  std::map<std::string, std::string> m_Headers;
  /// If set, sends the body in chunks. Returning false closes the connection
  /// without the end mark of the body.
  std::function<bool(HttpStream &)> m_Stream;
  /// The connection is closed without an answer.
  bool m_IsLost = false;
};

/// HTTP server of the emulators: one thread per connection, and faults that
/// affect single connections. It runs until the process ends.
class HttpServer {
public:
  using Handler = std::function<void(const HttpCall &, HttpReply &)>;

  explicit HttpServer(Handler Respond);
  ~HttpServer();

  /// Binds to "IP:port", where port 0 picks a free one. Returns the address in
  /// use. Throws std::runtime_error.
  std::string bind(const std::string &Address);
  /// Prints "Label IP:port" and serves.
  void run(const std::string &Label = "listening");

  /// The connections that exist now become silent for good: nothing more is
  /// read from them or written to them. New connections work, and so does the
  /// one that the calling thread serves.
  void freezeConnections();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

/// Parts of "IP:port". Throws std::invalid_argument.
std::pair<std::string, int> splitAddress(const std::string &Address);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_HTTPSERVER_H
