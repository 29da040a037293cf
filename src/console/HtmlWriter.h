#ifndef PARSLEYRING_CONSOLE_HTMLWRITER_H
#define PARSLEYRING_CONSOLE_HTMLWRITER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyring {

/// Escapes the characters that are special in HTML content and in quoted
/// attributes.
std::string escapeHtml(std::string_view Text);

/// Builds HTML. String literals are written as markup; all other text is
/// escaped, so text from forms and documents cannot become markup by mistake.
class HtmlWriter {
public:
  template <std::size_t Size>
  HtmlWriter &operator<<(const char (&Markup)[Size]) {
    m_Html.append(Markup, Size - 1);
    return *this;
  }
  HtmlWriter &operator<<(const std::string &Text) {
    m_Html += escapeHtml(Text);
    return *this;
  }
  HtmlWriter &operator<<(std::string_view Text) {
    m_Html += escapeHtml(Text);
    return *this;
  }
  template <typename Number,
            typename = std::enable_if_t<std::is_integral_v<Number>>>
  HtmlWriter &operator<<(Number Value) {
    m_Html += std::to_string(Value);
    return *this;
  }
  HtmlWriter &operator<<(const HtmlWriter &Inner) {
    m_Html += Inner.m_Html;
    return *this;
  }
  /// Deleted: a non-const char array would be taken for a literal, that is, for
  /// markup.
  template <std::size_t Size>
  HtmlWriter &operator<<(char (&Text)[Size]) = delete;

  /// Writes <input type="hidden">.
  HtmlWriter &hiddenInput(std::string_view Name, std::string_view Value);

  bool isEmpty() const { return m_Html.empty(); }
  const std::string &html() const { return m_Html; }
  std::string takeHtml() { return std::move(m_Html); }

private:
  std::string m_Html;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_HTMLWRITER_H
