#include "console/PageCall.h"

#include <ctime>

namespace parsleyring {

const std::string_view StyleSheet = R"(
body { font-family: sans-serif; max-width: 75em; margin: 1em auto;
  padding: 0 1em; color: #222; }
form { display: flex; flex-direction: column; }
nav { order: -1; border-bottom: 1px solid #888; padding-bottom: .5em; }
nav a, nav button { margin-right: 1em; }
table { border-collapse: collapse; margin: .5em 0; }
th, td { border: 1px solid #bbb; padding: .2em .5em; text-align: left;
  vertical-align: top; }
textarea { width: 100%; font-family: monospace; }
.finding { color: #a00; }
.key { font-family: monospace; background: #ffc; padding: .3em; }
)";

static constexpr std::size_t MaxShownFindings = 200;

namespace {
struct Section {
  const char *m_Path;
  const char *m_Label;
};
} // namespace

static const Section Sections[] = {
    {"/", "Overview"},           {"/accounts", "Accounts"},
    {"/pipelines", "Pipelines"}, {"/pools", "Pools"},
    {"/links", "Links"},         {"/rules", "Rules"},
    {"/policy", "Policy"},       {"/import", "Import"},
    {"/rollout", "Rollout"}};

static void beginDocument(HtmlWriter &Out, const std::string &Title) {
  Out << "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
         "<meta charset=\"utf-8\">\n<title>"
      << Title
      << " - parsleyring</title>\n"
         "<link rel=\"stylesheet\" href=\"/style.css\">\n</head>\n<body>\n";
}

void writePageLink(HtmlWriter &Out, const PageCall &Call,
                   const std::string &Path, const std::string &Label) {
  // Without a draft there is nothing to post, so a plain link is enough.
  if (Call.m_Workspace.draft().isEmpty())
    Out << "<a href=\"" << Path << "\">" << Label << "</a>\n";
  else
    Out << "<button formaction=\"" << Path << "\" formnovalidate>" << Label
        << "</button>\n";
}

static void writeNavigation(HtmlWriter &Out, const PageCall &Call) {
  Out << "<nav>\n";
  for (const Section &Each : Sections)
    writePageLink(Out, Call, Each.m_Path, Each.m_Label);
  std::size_t Changes = Call.m_Workspace.draft().changedEntities().size();
  if (Changes > 0) {
    writePageLink(Out, Call, "/review",
                  "Review draft (" + formatCount(Changes, "change") + ")");
    Out << "<a href=\"/\">Discard draft</a>\n";
  }
  Out << "<button formaction=\"/sign-out\" formnovalidate>Sign out "
      << Call.m_Operator << "</button>\n</nav>\n";
}

static ConsoleResponse render(const PageCall &Call, const std::string &Title,
                              const HtmlWriter &Body, int Status,
                              bool CarriesBase) {
  HtmlWriter Out;
  beginDocument(Out, Title);
  Out << "<form method=\"post\" action=\"" << Call.m_Request.m_Path
      << "\" accept-charset=\"utf-8\">\n";
  Out.hiddenInput("token", Call.m_Context.m_Sessions.formToken(
                               Call.m_Session, FormPurpose::Draft));
  if (CarriesBase || !Call.m_Workspace.draft().isEmpty())
    Out.hiddenInput("draft", Call.m_Workspace.draft().encode());
  // The navigation comes last in the form, so that the Enter key activates the
  // first button of the page itself; the style sheet moves it to the top.
  Out << "<main>\n<h1>" << Title << "</h1>\n" << Body << "</main>\n";
  writeNavigation(Out, Call);
  Out << "</form>\n</body>\n</html>\n";
  ConsoleResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Out.takeHtml();
  return Response;
}

ConsoleResponse renderPage(const PageCall &Call, const std::string &Title,
                           const HtmlWriter &Body, int Status) {
  return render(Call, Title, Body, Status, false);
}

ConsoleResponse renderEditPage(PageCall &Call, const std::string &Title,
                               const HtmlWriter &Body, int Status) {
  Workspace &Work = Call.m_Workspace;
  // A form that is shown again keeps the base version that it was opened on.
  if (Work.draft().isEmpty() && !Work.hasLoadedBase())
    Work.setDraft(Draft(Work.base()));
  return render(Call, Title, Body, Status, true);
}

ConsoleResponse renderPlainPage(const std::string &Title,
                                const HtmlWriter &Body, int Status) {
  HtmlWriter Out;
  beginDocument(Out, Title);
  Out << "<main>\n<h1>" << Title << "</h1>\n"
      << Body << "</main>\n</body>\n</html>\n";
  ConsoleResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Out.takeHtml();
  return Response;
}

void writeFindings(HtmlWriter &Out, const std::vector<Finding> &Findings) {
  if (Findings.empty())
    return;
  Out << "<table class=\"findings\">\n"
         "<tr><th>place</th><th>key</th><th>finding</th></tr>\n";
  for (std::size_t At = 0; At < Findings.size() && At < MaxShownFindings;
       ++At) {
    const Finding &Each = Findings[At];
    Out << "<tr><td>" << Each.m_File;
    if (Each.m_Line > 0)
      Out << " line " << Each.m_Line;
    Out << "</td><td>" << Each.m_Key << "</td><td class=\"finding\">"
        << Each.m_Message << "</td></tr>\n";
  }
  Out << "</table>\n";
  if (Findings.size() > MaxShownFindings)
    Out << "<p>and " << Findings.size() - MaxShownFindings << " more</p>\n";
}

void writeLines(HtmlWriter &Out, const std::vector<std::string> &Lines,
                std::size_t MaxLines) {
  Out << "<ul>\n";
  for (std::size_t At = 0; At < Lines.size() && At < MaxLines; ++At)
    Out << "<li>" << Lines[At] << "</li>\n";
  if (Lines.size() > MaxLines)
    Out << "<li>and " << Lines.size() - MaxLines << " more</li>\n";
  Out << "</ul>\n";
}

std::string formatTime(std::int64_t MillisSinceEpoch) {
  std::time_t Seconds = MillisSinceEpoch / 1000;
  std::tm Parts{};
  char Text[64];
  if (!::gmtime_r(&Seconds, &Parts) ||
      std::strftime(Text, sizeof(Text), "%Y-%m-%d %H:%M:%S UTC", &Parts) == 0)
    return "unknown";
  return Text;
}

std::string formatCount(std::size_t Number, const std::string &Word) {
  return std::to_string(Number) + " " + Word + (Number == 1 ? "" : "s");
}

} // namespace parsleyring
