#ifndef PARSLEYRING_CONSOLE_PAGECALL_H
#define PARSLEYRING_CONSOLE_PAGECALL_H

#include "console/ConsoleContext.h"
#include "console/ConsoleMessages.h"
#include "console/HtmlWriter.h"
#include "console/Workspace.h"

namespace parsleyring {

/// One request of a signed-in operator, as passed to the page classes.
struct PageCall {
  Time m_Now;
  const ConsoleContext &m_Context;
  const ConsoleRequest &m_Request;
  const std::string &m_Session;
  const std::string &m_Operator;
  Workspace &m_Workspace;

  const FormData &input() const { return m_Request.m_Input; }
};

/// Renders a page with title and navigation inside one form that carries the
/// draft. Body may not contain forms; its buttons use "formaction".
ConsoleResponse renderPage(const PageCall &Call, const std::string &Title,
                           const HtmlWriter &Body, int Status = 200);
/// Like renderPage(), for pages with input fields: they carry the base version
/// even without a draft, so that a conflict with another operator's change of
/// the same entity is detected.
ConsoleResponse renderEditPage(PageCall &Call, const std::string &Title,
                               const HtmlWriter &Body, int Status = 200);

/// Writes a link, or a button that posts the draft if there is one.
void writePageLink(HtmlWriter &Out, const PageCall &Call,
                   const std::string &Path, const std::string &Label);

/// Renders a page without navigation, for sign-in and for errors.
ConsoleResponse renderPlainPage(const std::string &Title,
                                const HtmlWriter &Body, int Status);

/// Writes a table of findings, or nothing if there are none.
void writeFindings(HtmlWriter &Out, const std::vector<Finding> &Findings);
/// Writes a list of at most MaxLines lines, and how many more there are.
void writeLines(HtmlWriter &Out, const std::vector<std::string> &Lines,
                std::size_t MaxLines = 500);
/// "2026-12-04 04:05:06 UTC"
std::string formatTime(std::int64_t MillisSinceEpoch);
/// "NUMBER WORD", with a plural "s" unless Number is 1.
std::string formatCount(std::size_t Number, const std::string &Word);

extern const std::string_view StyleSheet;

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PAGECALL_H
