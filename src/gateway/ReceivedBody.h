#ifndef PARSLEYRING_GATEWAY_RECEIVEDBODY_H
#define PARSLEYRING_GATEWAY_RECEIVEDBODY_H

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace parsleyring {

/// A body for parsers that takes no memory ahead of the bytes: the one of
/// Boost.Beast reserves the announced length, which a caller may never send.
struct ReceivedBody {
  using value_type = std::string;

  class Reader {
  public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body)
        : m_Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::beast::error_code &Error) {
      Error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Received, boost::beast::error_code &Error) {
      Error = {};
      std::size_t Size = 0;
      for (auto Buffer : boost::beast::buffers_range_ref(Received)) {
        m_Body.append(static_cast<const char *>(Buffer.data()), Buffer.size());
        Size += Buffer.size();
      }
      return Size;
    }
    void finish(boost::beast::error_code &Error) { Error = {}; }

  private:
    value_type &m_Body;
  };
  using reader = Reader; // The name that Boost.Beast looks for.
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_RECEIVEDBODY_H
