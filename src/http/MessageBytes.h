#ifndef PARSLEYRING_HTTP_MESSAGEBYTES_H
#define PARSLEYRING_HTTP_MESSAGEBYTES_H

#include <httplib.h>

namespace parsleyring {

/// Size in bytes of a request and its answer as HTTP/1.1 messages; the answer's
/// body has AnswerBytes bytes. Excludes chunk framing and TCP headers.
std::uint64_t messageBytes(const httplib::Request &Request,
                           const httplib::Response &Response,
                           std::size_t AnswerBytes);

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_MESSAGEBYTES_H
