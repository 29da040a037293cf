#ifndef PARSLEYRING_CONSOLE_SESSIONAUTHENTICATOR_H
#define PARSLEYRING_CONSOLE_SESSIONAUTHENTICATOR_H

#include "parsleyring/Settings.h"

namespace parsleyring {

/// Purpose of a posted form; a form token is valid for one purpose only.
enum class FormPurpose {
  SignIn,
  Draft, ///< Changes only the draft carried in the form.
  Publish,
};

/// Signs and verifies session cookies and form tokens. Stateless: every console
/// with the same settings accepts them.
class SessionAuthenticator {
public:
  /// Values must outlive this object.
  explicit SessionAuthenticator(const Settings &Values) : m_Settings(Values) {}

  /// Cookie value of a new session, "OPERATOR:EXPIRY-US:NONCE:SIGNATURE".
  std::string startSession(Time Now, const std::string &Operator) const;
  /// Returns the operator of a session cookie. Empty if the signature is wrong,
  /// the session has expired, or the operator was removed or has a new
  /// password.
  std::optional<std::string> operatorOf(Time Now,
                                        const std::string &Cookie) const;

  /// Token for a form; Session is the value of the cookie it is bound to.
  std::string formToken(const std::string &Session, FormPurpose Purpose) const;
  bool isValidFormToken(const std::string &Token, const std::string &Session,
                        FormPurpose Purpose) const;

  /// Takes the same time for an unknown operator as for a wrong password.
  bool canSignIn(const std::string &Operator,
                 const std::string &Password) const;

  static constexpr Duration SessionLifetime = std::chrono::hours(8);

private:
  const OperatorLogin *findLogin(const std::string &Operator) const;
  std::string signature(const std::string &Signed,
                        const OperatorLogin &Login) const;

  const Settings &m_Settings;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_SESSIONAUTHENTICATOR_H
