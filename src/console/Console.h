#ifndef PARSLEYRING_CONSOLE_CONSOLE_H
#define PARSLEYRING_CONSOLE_CONSOLE_H

#include "console/PageCall.h"

#include <mutex>

namespace parsleyring {

/// Handles the requests of operators' browsers: checks sessions and form tokens
/// and dispatches to the pages. Keeps no session or draft between requests, so
/// any console with the same settings can serve the next one. Thread-safe.
class Console {
public:
  explicit Console(const ConsoleContext &Context) : m_Context(Context) {}

  ConsoleResponse handle(Time Now, const ConsoleRequest &Request);

  /// Maximum size of a posted form in bytes; smaller without a valid session.
  std::size_t maxFormBytes(Time Now, const ConsoleRequest &Request) const;
  /// Error page for a rejected request; counts the request as refused.
  ConsoleResponse refuse(int Status, const std::string &Message) const;

  static constexpr std::size_t MaxFormBytes = 4 << 20;
  static constexpr std::size_t MaxSignInBytes = 16 << 10;

private:
  struct Page;
  static const Page Pages[];
  static const Page *findPage(const std::string &Path);

  ConsoleResponse signInPage(const std::string &Problem, int Status) const;
  ConsoleResponse signIn(Time Now, const ConsoleRequest &Request);
  ConsoleResponse signOut() const;
  ConsoleResponse handleSignedIn(Time Now, const ConsoleRequest &Request,
                                 const std::string &Operator);
  ConsoleResponse showPage(Time Now, const ConsoleRequest &Request,
                           const std::string &Session,
                           const std::string &Operator,
                           const Page &RequestedPage);
  /// Page for a form with an invalid token, for example from a session that has
  /// ended. Offers to continue with the entered fields.
  ConsoleResponse invalidTokenPage(const ConsoleRequest &Request,
                                   const std::string &Session) const;
  ConsoleResponse platformErrorPage(const ConsoleRequest &Request,
                                    const PlatformError &Error) const;
  /// Error page with status 503 that carries the posted fields and lets the
  /// operator try again.
  ConsoleResponse retryPage(const ConsoleRequest &Request,
                            const std::string &Problem) const;
  void recordSignIn(Time Now, const ConsoleRequest &Request,
                    const std::string &Operator, const char *Status) const;

  const ConsoleContext m_Context;
  /// Serializes password checks: they are deliberately slow, and one at a time
  /// leaves the other cores to the operators who are signed in.
  std::mutex m_PasswordMutex;
  std::atomic<unsigned> m_PendingSignIns{0};
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLE_H
