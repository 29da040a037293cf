#ifndef PARSLEYRING_CONSOLE_CONSOLEMESSAGES_H
#define PARSLEYRING_CONSOLE_CONSOLEMESSAGES_H

#include "console/FormData.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyring {

/// A request from an operator's browser.
struct ConsoleRequest {
  bool m_IsPost = false;
  std::string m_Path;
  std::string m_Remote; ///< IP address of the browser, for audit records.
  std::map<std::string, std::string> m_Cookies;
  FormData m_Input; ///< Fields of the query, and of the posted form.
};

struct ConsoleResponse {
  int m_Status = 200;
  std::string m_ContentType = "text/html; charset=utf-8";
  std::string m_Body;
  std::string m_Location; ///< Target of a redirect; otherwise empty.
  std::vector<std::string> m_Cookies; ///< Values of Set-Cookie headers.
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLEMESSAGES_H
