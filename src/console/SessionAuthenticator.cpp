#include "console/SessionAuthenticator.h"

#include "console/Cryptography.h"
#include "console/PasswordHash.h"
#include "core/NameTable.h"

#include <charconv>

namespace parsleyring {

static constexpr std::size_t NonceBytes = 16;
/// Separates the parts of signed messages; no part contains a line feed.
static constexpr char Separator = '\n';

static constexpr NameTable<FormPurpose, 3> PurposeNames{
    {"sign-in", "draft", "publish"}};

const OperatorLogin *
SessionAuthenticator::findLogin(const std::string &Operator) const {
  for (const OperatorLogin &Each : m_Settings.m_Operators)
    if (Each.m_Name == Operator)
      return &Each;
  return nullptr;
}

std::string SessionAuthenticator::signature(const std::string &Signed,
                                            const OperatorLogin &Login) const {
  // Includes the password hash, so that a new password ends old sessions.
  return hmacSha256Hex(m_Settings.m_SessionSecret,
                       std::string("session") + Separator + Signed + Separator +
                           Login.m_PasswordHash);
}

std::string
SessionAuthenticator::startSession(Time Now,
                                   const std::string &Operator) const {
  const OperatorLogin *Login = findLogin(Operator);
  if (!Login)
    return {};
  Time Expiry = Now + SessionLifetime;
  std::string Signed = Operator + ":" +
                       std::to_string(Expiry.time_since_epoch().count()) + ":" +
                       toHex(randomBytes(NonceBytes));
  return Signed + ":" + signature(Signed, *Login);
}

std::optional<std::string>
SessionAuthenticator::operatorOf(Time Now, const std::string &Cookie) const {
  // Operator names contain no colon.
  std::size_t NameEnd = Cookie.find(':');
  std::size_t SignatureAt = Cookie.rfind(':');
  if (NameEnd == std::string::npos || NameEnd == SignatureAt)
    return std::nullopt;
  std::string Operator = Cookie.substr(0, NameEnd);
  const OperatorLogin *Login = findLogin(Operator);
  if (!Login ||
      !isEqualInConstantTime(signature(Cookie.substr(0, SignatureAt), *Login),
                             std::string_view(Cookie).substr(SignatureAt + 1)))
    return std::nullopt;
  std::int64_t Expiry = 0;
  std::from_chars(Cookie.data() + NameEnd + 1, Cookie.data() + Cookie.size(),
                  Expiry);
  if (Now.time_since_epoch().count() >= Expiry)
    return std::nullopt;
  return Operator;
}

std::string SessionAuthenticator::formToken(const std::string &Session,
                                            FormPurpose Purpose) const {
  return hmacSha256Hex(m_Settings.m_SessionSecret,
                       std::string("form") + Separator +
                           std::string(PurposeNames.name(Purpose)) + Separator +
                           Session);
}

bool SessionAuthenticator::isValidFormToken(const std::string &Token,
                                            const std::string &Session,
                                            FormPurpose Purpose) const {
  return !Session.empty() &&
         isEqualInConstantTime(Token, formToken(Session, Purpose));
}

bool SessionAuthenticator::canSignIn(const std::string &Operator,
                                     const std::string &Password) const {
  if (const OperatorLogin *Login = findLogin(Operator))
    return verifyPassword(Password, Login->m_PasswordHash);
  // Checks some hash, so that the time does not reveal an unknown operator.
  if (!m_Settings.m_Operators.empty())
    verifyPassword(Password, m_Settings.m_Operators.front().m_PasswordHash);
  return false;
}

} // namespace parsleyring
