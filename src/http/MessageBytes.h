#ifndef PARSLEYRING_HTTP_MESSAGEBYTES_H
#define PARSLEYRING_HTTP_MESSAGEBYTES_H

#include <httplib.h>

namespace parsleyring {

/// Bytes of a request and its answer as HTTP/1.1 messages, whose body has
/// AnswerBytes bytes. Without the framing of chunks and of TCP.
std::uint64_t messageBytes(const httplib::Request &Request,
                           const httplib::Response &Response,
                           std::size_t AnswerBytes);

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_MESSAGEBYTES_H
