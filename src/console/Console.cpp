#include "console/Console.h"

#include "console/AccountPages.h"
#include "console/Cryptography.h"
#include "console/ImportPage.h"
#include "console/ListPages.h"
#include "console/OverviewPage.h"
#include "console/PipelinePages.h"
#include "console/PolicyPage.h"
#include "console/PoolPages.h"
#include "console/ReviewPage.h"
#include "console/RolloutPage.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <set>

namespace parsleyring {

static const std::string SessionCookie = "parsleyring-session";
/// Binds the sign-in form's token to the browser that loaded the form.
static const std::string SignInFormCookie = "parsleyring-visit";
static const std::string CookieAttributes =
    "; Path=/; HttpOnly; SameSite=Strict";
static constexpr std::size_t FormIdBytes = 16;
static constexpr unsigned MaxPendingSignIns = 8;

/// How a page handles a draft whose base is not the version in force.
enum class OutdatedDraftAction {
  ShowConflict, ///< Shows the conflict page instead.
  EditOnBase,   ///< Applies the edit to the draft's base version.
  HandleInPage, ///< The page handles the conflict itself.
};

/// A page for signed-in operators.
struct Console::Page {
  const char *m_Path;
  bool m_IsGetAllowed;
  /// Available while the document in the platform is damaged.
  bool m_IsAllowedWhenDamaged;
  OutdatedDraftAction m_OnOutdatedDraft;
  ConsoleResponse (*m_Show)(PageCall &Call);
};

static constexpr OutdatedDraftAction ShowConflict =
    OutdatedDraftAction::ShowConflict;
static constexpr OutdatedDraftAction EditOnBase =
    OutdatedDraftAction::EditOnBase;
static constexpr OutdatedDraftAction HandleInPage =
    OutdatedDraftAction::HandleInPage;

const Console::Page Console::Pages[] = {
    {"/", true, false, ShowConflict, OverviewPage::show},
    {"/document.toml", true, false, ShowConflict, ImportPage::download},
    {"/import", true, true, ShowConflict, ImportPage::show},
    {"/import/review", false, true, EditOnBase, ImportPage::review},
    {"/accounts", true, false, ShowConflict, AccountPages::list},
    {"/account", true, false, ShowConflict, AccountPages::open},
    {"/account/save", false, false, EditOnBase, AccountPages::save},
    {"/account/key", false, false, EditOnBase, AccountPages::createKey},
    {"/account/delete", false, false, EditOnBase, AccountPages::remove},
    {"/pipelines", true, false, ShowConflict, PipelinePages::list},
    {"/pipeline", true, false, ShowConflict, PipelinePages::open},
    {"/pipeline/save", false, false, EditOnBase, PipelinePages::save},
    {"/pipeline/delete", false, false, EditOnBase, PipelinePages::remove},
    {"/pools", true, false, ShowConflict, PoolPages::list},
    {"/pool", true, false, ShowConflict, PoolPages::open},
    {"/pool/save", false, false, EditOnBase, PoolPages::save},
    {"/pool/delete", false, false, EditOnBase, PoolPages::remove},
    {"/links", true, false, ShowConflict, ListPages::openLinks},
    {"/links/save", false, false, EditOnBase, ListPages::saveLinks},
    {"/rules", true, false, ShowConflict, ListPages::openRules},
    {"/rules/save", false, false, EditOnBase, ListPages::saveRules},
    {"/policy", true, false, ShowConflict, PolicyPage::open},
    {"/policy/save", false, false, EditOnBase, PolicyPage::save},
    {"/rollout", true, true, ShowConflict, RolloutPage::show},
    {"/review", false, true, ShowConflict, ReviewPage::show},
    {"/rebase", false, false, HandleInPage, ReviewPage::rebase},
    {"/publish", false, true, HandleInPage, ReviewPage::publish},
};

const Console::Page *Console::findPage(const std::string &Path) {
  for (const Page &Each : Pages)
    if (Path == Each.m_Path)
      return &Each;
  return nullptr;
}

static std::string cookieValue(const ConsoleRequest &Request,
                               const std::string &Name) {
  auto Found = Request.m_Cookies.find(Name);
  return Found == Request.m_Cookies.end() ? "" : Found->second;
}

static ConsoleResponse redirect(const std::string &Location) {
  ConsoleResponse Response;
  Response.m_Status = 303;
  Response.m_Location = Location;
  return Response;
}

static ConsoleResponse textResponse(const char *Type, std::string Text) {
  ConsoleResponse Response;
  Response.m_ContentType = Type;
  Response.m_Body = std::move(Text);
  return Response;
}

std::size_t Console::maxFormBytes(Time Now,
                                  const ConsoleRequest &Request) const {
  return m_Context.m_Sessions.operatorOf(Now,
                                         cookieValue(Request, SessionCookie))
             ? MaxFormBytes
             : MaxSignInBytes;
}

ConsoleResponse Console::refuse(int Status, const std::string &Message) const {
  ++m_Context.m_Counters.m_RefusedRequests;
  HtmlWriter Body;
  Body << "<p class=\"finding\">" << Message
       << "</p>\n<p>Nothing was changed. <a href=\"/\">Overview</a></p>\n";
  return renderPlainPage("Request refused", Body, Status);
}

ConsoleResponse Console::handle(Time Now, const ConsoleRequest &Request) {
  ++m_Context.m_Counters.m_Requests;
  const std::string &Path = Request.m_Path;
  if (!Request.m_IsPost && Path == "/healthz")
    return textResponse("text/plain", "alive\n");
  if (!Request.m_IsPost && Path == "/metrics")
    return textResponse("text/plain; version=0.0.4",
                        m_Context.m_Counters.metricsText());
  if (!Request.m_IsPost && Path == "/style.css")
    return textResponse("text/css", std::string(StyleSheet));
  try {
    if (Path == "/sign-in")
      return Request.m_IsPost ? signIn(Now, Request) : signInPage("", 200);
    std::optional<std::string> Operator = m_Context.m_Sessions.operatorOf(
        Now, cookieValue(Request, SessionCookie));
    if (Operator)
      return handleSignedIn(Now, Request, *Operator);
    if (!Request.m_IsPost)
      return redirect("/sign-in");
    // A redirect would silently drop the posted form.
    return refuse(401, "You are not signed in, or the session has ended. Sign "
                       "in from another tab, then go back and send this form "
                       "again.");
  } catch (const FormError &Error) {
    return refuse(400, Error.what());
  } catch (const PlatformError &Error) {
    return platformErrorPage(Request, Error);
  }
}

ConsoleResponse Console::signInPage(const std::string &Problem,
                                    int Status) const {
  std::string FormId = toHex(randomBytes(FormIdBytes));
  HtmlWriter Body;
  if (!Problem.empty())
    Body << "<p class=\"finding\">" << Problem << "</p>\n";
  Body << "<form method=\"post\" action=\"/sign-in\">\n";
  Body.hiddenInput("token",
                   m_Context.m_Sessions.formToken(FormId, FormPurpose::SignIn));
  Body << "<p><label>Operator <input name=\"operator\" required "
          "autocomplete=\"username\"></label></p>\n"
          "<p><label>Password <input type=\"password\" name=\"password\" "
          "required autocomplete=\"current-password\"></label></p>\n"
          "<p><button>Sign in</button></p>\n</form>\n";
  ConsoleResponse Response = renderPlainPage("Sign in", Body, Status);
  Response.m_Cookies.push_back(SignInFormCookie + "=" + FormId +
                               CookieAttributes);
  return Response;
}

void Console::recordSignIn(Time Now, const ConsoleRequest &Request,
                           const std::string &Operator,
                           const char *Status) const {
  // An unknown name may be a password typed into the wrong field, so the audit
  // record leaves unknown names out.
  bool IsKnown = false;
  for (const OperatorLogin &Each : m_Context.m_Settings.m_Operators)
    IsKnown = IsKnown || Each.m_Name == Operator;
  nlohmann::ordered_json Fields{{"event", "sign-in"},
                                {"status", Status},
                                {"operator", IsKnown ? Operator : ""},
                                {"remote", Request.m_Remote}};
  m_Context.m_WriteAudit({AuditKind::Configuration, Now, 0, Fields.dump()});
}

ConsoleResponse Console::signIn(Time Now, const ConsoleRequest &Request) {
  const FormData &Input = Request.m_Input;
  const std::string &Operator = Input.required("operator");
  const std::string &Password = Input.required("password");
  if (!m_Context.m_Sessions.isValidFormToken(
          Input.required("token"), cookieValue(Request, SignInFormCookie),
          FormPurpose::SignIn)) {
    ++m_Context.m_Counters.m_RefusedRequests;
    return signInPage("The form is not from this browser; try again.", 403);
  }
  if (++m_PendingSignIns > MaxPendingSignIns) {
    --m_PendingSignIns;
    return signInPage("Too many sign-ins at once; try again.", 503);
  }
  bool IsPasswordCorrect = false;
  {
    std::lock_guard<std::mutex> Lock(m_PasswordMutex);
    IsPasswordCorrect = m_Context.m_Sessions.canSignIn(Operator, Password);
  }
  --m_PendingSignIns;
  recordSignIn(Now, Request, Operator,
               IsPasswordCorrect ? "signed-in" : "refused");
  if (!IsPasswordCorrect) {
    ++m_Context.m_Counters.m_FailedSignIns;
    return signInPage("Operator or password is wrong.", 403);
  }
  ++m_Context.m_Counters.m_SignIns;
  ConsoleResponse Response = redirect("/");
  Response.m_Cookies.push_back(
      SessionCookie + "=" + m_Context.m_Sessions.startSession(Now, Operator) +
      CookieAttributes);
  return Response;
}

ConsoleResponse Console::signOut() const {
  ConsoleResponse Response = redirect("/sign-in");
  Response.m_Cookies.push_back(SessionCookie + "=; Max-Age=0" +
                               CookieAttributes);
  return Response;
}

ConsoleResponse Console::handleSignedIn(Time Now, const ConsoleRequest &Request,
                                        const std::string &Operator) {
  const std::string Session = cookieValue(Request, SessionCookie);
  const FormData &Input = Request.m_Input;
  const Page *Found = findPage(Request.m_Path);
  if (!Found && Request.m_Path != "/sign-out")
    return refuse(404, "There is no page at this address.");
  if (!Request.m_IsPost && !(Found && Found->m_IsGetAllowed))
    return refuse(405, "This page needs a posted form.");
  if (Request.m_IsPost) {
    bool IsPublish = Request.m_Path == "/publish";
    const std::string &Token =
        Input.required(IsPublish ? "publish_token" : "token");
    if (!m_Context.m_Sessions.isValidFormToken(
            Token, Session,
            IsPublish ? FormPurpose::Publish : FormPurpose::Draft)) {
      if (IsPublish)
        ReviewPage::recordForgery(m_Context, Now, Request, Operator);
      return invalidTokenPage(Request, Session);
    }
    if (Request.m_Path == "/sign-out")
      return signOut();
    // Nothing is published unless its audit record can be written.
    if (IsPublish && m_Context.m_IsAuditCongested())
      return retryPage(Request, "The audit records of this console are not "
                                "taken off its standard output.");
  }
  return showPage(Now, Request, Session, Operator, *Found);
}

ConsoleResponse Console::showPage(Time Now, const ConsoleRequest &Request,
                                  const std::string &Session,
                                  const std::string &Operator,
                                  const Page &RequestedPage) {
  const FormData &Input = Request.m_Input;
  Workspace Work(m_Context.m_Publisher.load());
  m_Context.m_Counters.m_Version = Work.version();
  if (Input.has("draft")) {
    std::vector<Finding> Findings;
    std::optional<Draft> Carried =
        Draft::decode(Input.value("draft"), Findings);
    if (!Carried)
      return refuse(400, "The " + Findings.front().m_Key + " " +
                             Findings.front().m_Message);
    Work.setDraft(std::move(*Carried));
  }
  PageCall Call{Now, m_Context, Request, Session, Operator, Work};
  if (!RequestedPage.m_IsAllowedWhenDamaged && Work.isDamaged())
    return OverviewPage::damaged(Call);
  if (RequestedPage.m_OnOutdatedDraft == OutdatedDraftAction::HandleInPage)
    return RequestedPage.m_Show(Call);
  // Drops changes of single entities: they cannot be applied to a damaged
  // document.
  if (Work.isDamaged() && !(Work.draft().base() == Work.base()))
    Work.setDraft(Draft());
  if (RequestedPage.m_OnOutdatedDraft == OutdatedDraftAction::ShowConflict &&
      Work.isOutdated())
    return ReviewPage::conflict(Call);
  bool IsEdit =
      RequestedPage.m_OnOutdatedDraft == OutdatedDraftAction::EditOnBase;
  if (IsEdit && Input.has("draft") && !Work.loadDraftBase(m_Context.m_Platform))
    return refuse(409, "Another version is in force, and the version on which "
                       "this form was opened cannot be read any more. Go back, "
                       "note what you entered, and open the page again.");
  return RequestedPage.m_Show(Call);
}

ConsoleResponse Console::invalidTokenPage(const ConsoleRequest &Request,
                                          const std::string &Session) const {
  ++m_Context.m_Counters.m_RefusedRequests;
  static const std::set<std::string> ExcludedFields{"token", "publish_token",
                                                    "nonce"};
  HtmlWriter Body;
  Body << "<p class=\"finding\">The form is not from this session. Nothing was "
          "changed.</p>\n<p>If it is your own, from before you signed in anew, "
          "you can go on with what you entered. If you did not send one, leave "
          "this page: <a href=\"/\">Overview</a></p>\n";
  // The form's token was invalid, so the button leads only to pages that
  // publish nothing.
  bool IsPublish = Request.m_Path == "/publish";
  Body << "<form method=\"post\" action=\""
       << (IsPublish ? std::string("/review") : Request.m_Path) << "\">\n";
  Body.hiddenInput("token",
                   m_Context.m_Sessions.formToken(Session, FormPurpose::Draft));
  for (const auto &[Name, Value] : Request.m_Input.fields())
    if (ExcludedFields.count(Name) == 0)
      Body.hiddenInput(Name, Value);
  Body << "<p><button>Go on with this form</button></p>\n</form>\n";
  return renderPlainPage("Request refused", Body, 403);
}

ConsoleResponse Console::platformErrorPage(const ConsoleRequest &Request,
                                           const PlatformError &Error) const {
  ++m_Context.m_Counters.m_PlatformErrors;
  return retryPage(Request,
                   std::string("The platform's key-value service does not "
                               "answer: ") +
                       Error.what());
}

ConsoleResponse Console::retryPage(const ConsoleRequest &Request,
                                   const std::string &Problem) const {
  HtmlWriter Body;
  Body << "<p class=\"finding\">" << Problem
       << "</p>\n<p>Nothing was changed. The routers keep the configuration "
          "that they have.</p>\n";
  // The page carries the posted fields, so the operator can submit them again.
  if (Request.m_IsPost) {
    Body << "<form method=\"post\" action=\"" << Request.m_Path << "\">\n";
    for (const auto &[Name, Value] : Request.m_Input.fields())
      Body.hiddenInput(Name, Value);
    Body << "<p>What you entered is kept in this page. "
            "<button>Try again</button></p>\n</form>\n";
  } else {
    Body << "<p><a href=\"" << Request.m_Path << "\">Try again</a></p>\n";
  }
  return renderPlainPage("Unavailable", Body, 503);
}

} // namespace parsleyring
