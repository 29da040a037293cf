#ifndef PARSLEYRING_TESTS_SUPPORT_CONSOLEBROWSER_H
#define PARSLEYRING_TESTS_SUPPORT_CONSOLEBROWSER_H

#include <map>
#include <string>

namespace parsleyring {

/// A browser without scripts: keeps cookies, and sends the fields of the form
/// that the last page has.
class ConsoleBrowser {
public:
  using Fields = std::map<std::string, std::string>;

  explicit ConsoleBrowser(int Port) : m_Port(Port) {}

  /// Continues with another console; the page and the cookies stay.
  void moveTo(int Port) { m_Port = Port; }

  /// Return the page. A page is kept as it is if there is no answer.
  const std::string &get(const std::string &Path);
  /// Posts the fields of the page, with those given set.
  const std::string &submit(const std::string &Path, const Fields &Set = {});
  /// Posts exactly this text as a form.
  const std::string &post(const std::string &Path, const std::string &Body);
  void signIn(const std::string &Operator, const std::string &Password);

  int status() const { return m_Status; }
  const std::string &page() const { return m_Page; }
  bool shows(const std::string &Text) const {
    return m_Page.find(Text) != std::string::npos;
  }
  /// Fields of the form of the page.
  Fields fields() const;
  std::string header(const std::string &Name) const;
  std::string cookie(const std::string &Name) { return m_Cookies[Name]; }

  static std::string encode(const Fields &Values);

private:
  const std::string &call(const std::string &Path, const std::string *Body);

  int m_Port;
  int m_Status = 0;
  std::string m_Page;
  std::multimap<std::string, std::string> m_Headers;
  Fields m_Cookies;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_CONSOLEBROWSER_H
