#include "requests/ServicePath.h"

#include <vector>

namespace parsleyring {

static int hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

static std::string percentDecoded(const std::string &Path) {
  std::string Result;
  for (std::size_t Index = 0; Index < Path.size(); ++Index) {
    bool IsEscape = Path[Index] == '%' && Index + 2 < Path.size();
    int High = IsEscape ? hexDigit(Path[Index + 1]) : -1;
    int Low = IsEscape ? hexDigit(Path[Index + 2]) : -1;
    if (High < 0 || Low < 0) {
      Result += Path[Index];
      continue;
    }
    Result += static_cast<char>(High * 16 + Low);
    Index += 2;
  }
  return Result;
}

std::string withoutQuery(const std::string &Path) {
  return Path.substr(0, Path.find_first_of("?#"));
}

std::string canonicalPath(const std::string &Path) {
  std::string Decoded = percentDecoded(Path);
  std::vector<std::string> Segments;
  for (std::size_t Start = 0; Start <= Decoded.size();) {
    std::size_t End = std::min(Decoded.find('/', Start), Decoded.size());
    std::string Segment = Decoded.substr(Start, End - Start);
    Start = End + 1;
    if (Segment == ".." && !Segments.empty())
      Segments.pop_back();
    else if (!Segment.empty() && Segment != "." && Segment != "..")
      Segments.push_back(std::move(Segment));
  }
  std::string Result;
  for (const std::string &Segment : Segments)
    Result += "/" + Segment;
  // The path of a rule may end with "/", so a trailing "/" is kept.
  if (Result.empty() || Decoded.back() == '/')
    Result += '/';
  return Result;
}

bool isIdempotentCall(const Document &Configuration, const std::string &Pool,
                      const std::string &Method, const std::string &Path) {
  return Configuration.isIdempotent(Pool, Method, Path) &&
         Configuration.isIdempotent(Pool, Method, canonicalPath(Path));
}

} // namespace parsleyring
