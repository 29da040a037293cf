#ifndef PARSLEYRING_HTTP_RESPONSEHEAD_H
#define PARSLEYRING_HTTP_RESPONSEHEAD_H

#include <httplib.h>

#include <string>

namespace parsleyring {

/// What is wrong with the status or a field name of a final response; empty if
/// they are valid.
std::string checkResponseHead(const httplib::Response &Response);

} // namespace parsleyring

#endif // PARSLEYRING_HTTP_RESPONSEHEAD_H
