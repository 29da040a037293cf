#ifndef PARSLEYRING_CONSOLE_PAGECALL_H
#define PARSLEYRING_CONSOLE_PAGECALL_H

#include "console/ConsoleContext.h"
#include "console/ConsoleMessages.h"
#include "console/HtmlWriter.h"
#include "console/Workspace.h"

namespace parsleyring {

/// One request of an operator who is signed in, for the classes of the pages.
struct PageCall {
  Time m_Now;
  const ConsoleContext &m_Context;
  const ConsoleRequest &m_Request;
  const std::string &m_Session;
  const std::string &m_Operator;
  Workspace &m_Workspace;

  const FormData &input() const { return m_Request.m_Input; }
};

/// The page with title, navigation, and one form around all of it, which
/// carries the draft. Body may not hold forms; its buttons have "formaction".
ConsoleResponse renderPage(const PageCall &Call, const std::string &Title,
                           const HtmlWriter &Body, int Status = 200);
/// As renderPage(), for pages in which something is entered: they carry the
/// base version even without a draft, so that an edit of an entity that
/// another operator changes meanwhile is noticed.
ConsoleResponse renderEditPage(PageCall &Call, const std::string &Title,
                               const HtmlWriter &Body, int Status = 200);

/// A link, or a button that posts the draft if there is one.
void writeStep(HtmlWriter &Out, const PageCall &Call, const std::string &Path,
               const std::string &Label);

/// A page for operators who are not signed in, and for errors.
ConsoleResponse renderPlainPage(const std::string &Title,
                                const HtmlWriter &Body, int Status);

/// A table of findings, or nothing if there are none.
void writeFindings(HtmlWriter &Out, const std::vector<Finding> &Findings);
/// A list of at most MaxLines lines; says how many more there are.
void writeLines(HtmlWriter &Out, const std::vector<std::string> &Lines,
                std::size_t MaxLines = 500);
/// "2026-12-04 04:05:06 UTC"
std::string shownTime(std::int64_t MillisSinceEpoch);
/// "NUMBER WORD" with the plural "s" where it is due.
std::string counted(std::size_t Number, const std::string &Word);

extern const std::string_view StyleSheet;

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PAGECALL_H
