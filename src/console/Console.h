#ifndef PARSLEYRING_CONSOLE_CONSOLE_H
#define PARSLEYRING_CONSOLE_CONSOLE_H

#include "console/PageCall.h"

#include <mutex>

namespace parsleyring {

/// Answers the requests of operators' browsers: sessions, form tokens, and the
/// choice of the page. Keeps nothing between requests that another console
/// with the same settings would not have. Safe to use from many threads.
class Console {
public:
  explicit Console(const ConsoleContext &Context) : m_Context(Context) {}

  ConsoleResponse handle(Time Now, const ConsoleRequest &Request);

  /// Bytes that a posted form may have; few without a session.
  std::size_t maxFormBytes(Time Now, const ConsoleRequest &Request) const;
  /// Answers a request whose form cannot be read.
  ConsoleResponse refuse(int Status, const std::string &Message) const;

  static constexpr std::size_t MaxFormBytes = 4 << 20;
  static constexpr std::size_t MaxSignInBytes = 16 << 10;

private:
  struct Page;
  static const Page Pages[];
  static const Page *pageAt(const std::string &Path);

  ConsoleResponse signInPage(const std::string &Problem, int Status) const;
  ConsoleResponse signIn(Time Now, const ConsoleRequest &Request);
  ConsoleResponse signOut() const;
  ConsoleResponse handleSignedIn(Time Now, const ConsoleRequest &Request,
                                 const std::string &Operator);
  ConsoleResponse showPage(Time Now, const ConsoleRequest &Request,
                           const std::string &Session,
                           const std::string &Operator, const Page &Wanted);
  /// The form token is wrong, for example from a session that has ended.
  ConsoleResponse staleForm(const ConsoleRequest &Request,
                            const std::string &Session) const;
  ConsoleResponse platformError(const ConsoleRequest &Request,
                                const PlatformError &Error) const;
  /// Keeps what was entered in the page.
  ConsoleResponse retryPage(const ConsoleRequest &Request,
                            const std::string &Problem) const;
  void recordSignIn(Time Now, const ConsoleRequest &Request,
                    const std::string &Operator, const char *Status) const;

  const ConsoleContext m_Context;
  /// Password checks are slow on purpose; one at a time leaves the other cores
  /// to the operators who are signed in.
  std::mutex m_PasswordMutex;
  std::atomic<unsigned> m_WaitingSignIns{0};
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_CONSOLE_H
