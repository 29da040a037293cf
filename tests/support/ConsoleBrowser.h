#ifndef PARSLEYRING_TESTS_SUPPORT_CONSOLEBROWSER_H
#define PARSLEYRING_TESTS_SUPPORT_CONSOLEBROWSER_H

#include <map>
#include <string>

namespace parsleyring {

/// A browser without scripting: keeps cookies, and submits the form of the last
/// page.
class ConsoleBrowser {
public:
  using Fields = std::map<std::string, std::string>;

  explicit ConsoleBrowser(int Port) : m_Port(Port) {}

  /// Sends later requests to another console; keeps the page and the cookies.
  void switchConsole(int Port) { m_Port = Port; }

  /// Requests a page and returns it. Without an answer, status() is 0 and the
  /// last page stays.
  const std::string &get(const std::string &Path);
  /// Posts the form fields of the page, overridden by Set.
  const std::string &submit(const std::string &Path, const Fields &Set = {});
  /// Posts Body unchanged as an encoded form.
  const std::string &post(const std::string &Path, const std::string &Body);
  void signIn(const std::string &Operator, const std::string &Password);

  int status() const { return m_Status; }
  const std::string &page() const { return m_Page; }
  bool pageContains(const std::string &Text) const {
    return m_Page.find(Text) != std::string::npos;
  }
  /// Names and current values of the form fields of the page.
  Fields fields() const;
  std::string header(const std::string &Name) const;
  std::string cookie(const std::string &Name) { return m_Cookies[Name]; }

  /// Encodes the fields as application/x-www-form-urlencoded.
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
