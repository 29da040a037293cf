#include "support/ConsoleBrowser.h"

#include <httplib.h>

#include <regex>

namespace parsleyring {

static constexpr int TimeoutSeconds = 20;

static std::string unescaped(std::string Text) {
  static const std::pair<const char *, const char *> Entities[] = {
      {"&lt;", "<"},
      {"&gt;", ">"},
      {"&quot;", "\""},
      {"&#39;", "'"},
      {"&amp;", "&"}};
  for (const auto &[Entity, Letter] : Entities)
    for (std::size_t At = Text.find(Entity); At != std::string::npos;
         At = Text.find(Entity, At + 1))
      Text.replace(At, std::strlen(Entity), Letter);
  return Text;
}

ConsoleBrowser::Fields ConsoleBrowser::fields() const {
  static const std::regex Input(
      "<input[^>]*name=\"([^\"]*)\"(?: value=\"([^\"]*)\")?[^>]*>");
  static const std::regex Area(
      "<textarea[^>]*name=\"([^\"]*)\"[^>]*>\n([^<]*)</textarea>");
  static const std::regex Choice("<select[^>]*name=\"([^\"]*)\">.*?"
                                 "<option selected>([^<]*)</option>");
  Fields Found;
  using Iterator = std::sregex_iterator;
  for (Iterator At(m_Page.begin(), m_Page.end(), Input); At != Iterator();
       ++At) {
    std::string Tag = At->str();
    bool IsBox = Tag.find("type=\"checkbox\"") != std::string::npos ||
                 Tag.find("type=\"radio\"") != std::string::npos;
    if (!IsBox || Tag.find(" checked") != std::string::npos)
      Found[unescaped((*At)[1])] = unescaped((*At)[2]);
  }
  for (const std::regex &Pattern : {Area, Choice})
    for (Iterator At(m_Page.begin(), m_Page.end(), Pattern); At != Iterator();
         ++At)
      Found[unescaped((*At)[1])] = unescaped((*At)[2]);
  return Found;
}

std::string ConsoleBrowser::encode(const Fields &Values) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Body;
  auto Append = [&](const std::string &Text) {
    for (char Letter : Text) {
      auto Code = static_cast<unsigned char>(Letter);
      if (std::isalnum(Code) || Letter == '-' || Letter == '_')
        Body += Letter;
      else
        (((Body += '%') += Digits[Code >> 4]) += Digits[Code & 15]);
    }
  };
  for (const auto &[Name, Value] : Values) {
    Body += Body.empty() ? "" : "&";
    Append(Name);
    Body += '=';
    Append(Value);
  }
  return Body;
}

const std::string &ConsoleBrowser::call(const std::string &Path,
                                        const std::string *Body) {
  httplib::Client Client("127.0.0.1", m_Port);
  Client.set_connection_timeout(TimeoutSeconds);
  Client.set_read_timeout(TimeoutSeconds);
  Client.set_write_timeout(TimeoutSeconds);
  httplib::Headers Headers;
  std::string Cookies;
  for (const auto &[Name, Value] : m_Cookies)
    Cookies += (Cookies.empty() ? "" : "; ") + Name + "=" + Value;
  if (!Cookies.empty())
    Headers.emplace("Cookie", Cookies);
  auto Answer = Body ? Client.Post(Path, Headers, *Body,
                                   "application/x-www-form-urlencoded")
                     : Client.Get(Path, Headers);
  m_Status = Answer ? Answer->status : 0;
  if (!Answer)
    return m_Page;
  m_Page = Answer->body;
  m_Headers.clear();
  for (const auto &[Name, Value] : Answer->headers) {
    m_Headers.emplace(Name, Value);
    if (Name != "Set-Cookie")
      continue;
    std::size_t NameEnd = Value.find('=');
    std::string Kept = Value.substr(NameEnd + 1, Value.find(';') - NameEnd - 1);
    m_Cookies[Value.substr(0, NameEnd)] = Kept;
  }
  return m_Page;
}

const std::string &ConsoleBrowser::get(const std::string &Path) {
  return call(Path, nullptr);
}

const std::string &ConsoleBrowser::post(const std::string &Path,
                                        const std::string &Body) {
  return call(Path, &Body);
}

const std::string &ConsoleBrowser::submit(const std::string &Path,
                                          const Fields &Set) {
  Fields Values = fields();
  for (const auto &[Name, Value] : Set)
    Values[Name] = Value;
  return post(Path, encode(Values));
}

void ConsoleBrowser::signIn(const std::string &Operator,
                            const std::string &Password) {
  get("/sign-in");
  submit("/sign-in", {{"operator", Operator}, {"password", Password}});
}

std::string ConsoleBrowser::header(const std::string &Name) const {
  auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

} // namespace parsleyring
