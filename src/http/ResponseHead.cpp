#include "http/ResponseHead.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace parsleyring {

static bool isFinalStatus(int Status) { return Status >= 200 && Status <= 599; }

static bool isTokenCharacter(char Character) {
  static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Character)) ||
         Others.find(Character) != Others.npos;
}

// The library accepts any three digits as a status, and takes all bytes before
// a colon for the name of a field.
std::string checkResponseHead(const httplib::Response &Response) {
  if (!isFinalStatus(Response.status))
    return "status " + std::to_string(Response.status) +
           " is not one of a final answer";
  for (const auto &[Name, Value] : Response.headers)
    if (Name.empty() ||
        !std::all_of(Name.begin(), Name.end(), isTokenCharacter))
      return "the name of a field is not a token";
  return "";
}

} // namespace parsleyring
