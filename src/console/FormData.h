#ifndef PARSLEYRING_CONSOLE_FORMDATA_H
#define PARSLEYRING_CONSOLE_FORMDATA_H

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace parsleyring {

/// A form or query is malformed; the message names the field.
class FormError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The fields of a posted form or of a query.
class FormData {
public:
  /// Reads application/x-www-form-urlencoded text. Throws FormError if it is
  /// malformed, a field is repeated, or a value is not UTF-8 text.
  static FormData parse(std::string_view Encoded);

  bool has(const std::string &Name) const { return m_Fields.count(Name) > 0; }
  /// Empty if the field is absent.
  const std::string &value(const std::string &Name) const;
  /// Throws FormError if the field is absent.
  const std::string &required(const std::string &Name) const;

  const std::map<std::string, std::string> &fields() const { return m_Fields; }
  void set(const std::string &Name, std::string Value) {
    m_Fields[Name] = std::move(Value);
  }

private:
  std::map<std::string, std::string> m_Fields;
};

/// Returns whether Text is well-formed UTF-8 without control characters other
/// than tab, CR and LF.
bool isPlainText(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_FORMDATA_H
