#include "console/HtmlWriter.h"

namespace parsleyring {

std::string escapeHtml(std::string_view Text) {
  std::string Escaped;
  Escaped.reserve(Text.size());
  for (char Letter : Text) {
    switch (Letter) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      Escaped += Letter;
    }
  }
  return Escaped;
}

HtmlWriter &HtmlWriter::hiddenInput(std::string_view Name,
                                    std::string_view Value) {
  return *this << "<input type=\"hidden\" name=\"" << Name << "\" value=\""
               << Value << "\">\n";
}

} // namespace parsleyring
