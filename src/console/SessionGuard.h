#ifndef PARSLEYRING_CONSOLE_SESSIONGUARD_H
#define PARSLEYRING_CONSOLE_SESSIONGUARD_H

#include "parsleyring/Settings.h"

namespace parsleyring {

/// What a post asks for; a form token is good for one purpose.
enum class FormPurpose {
  SignIn,
  Draft, ///< Changes nothing outside of the forms.
  Publish,
};

/// Signs and checks the cookies of sessions and the tokens of forms. Keeps no
/// state, so each console with the same settings accepts them.
class SessionGuard {
public:
  /// Settings must outlive the guard.
  explicit SessionGuard(const Settings &Values) : m_Settings(Values) {}

  /// Cookie value of a new session, "OPERATOR:EXPIRY-US:NONCE:SIGNATURE".
  std::string startSession(Time Now, const std::string &Operator) const;
  /// Operator of a session that is genuine, has not expired, and whose
  /// operator still exists with the same password.
  std::optional<std::string> operatorOf(Time Now,
                                        const std::string &Cookie) const;

  /// Token for a form of a session; Session is the value of a cookie.
  std::string formToken(const std::string &Session, FormPurpose Purpose) const;
  bool isFormToken(const std::string &Token, const std::string &Session,
                   FormPurpose Purpose) const;

  /// Takes the same time for an unknown operator as for a wrong password.
  bool canSignIn(const std::string &Operator,
                 const std::string &Password) const;

  static constexpr Duration SessionTime = std::chrono::hours(8);

private:
  const OperatorLogin *login(const std::string &Operator) const;
  std::string signature(const std::string &Signed,
                        const OperatorLogin &Login) const;

  const Settings &m_Settings;
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_SESSIONGUARD_H
