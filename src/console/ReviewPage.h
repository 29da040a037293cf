#ifndef PARSLEYRING_CONSOLE_REVIEWPAGE_H
#define PARSLEYRING_CONSOLE_REVIEWPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Shows a draft with its findings and differences, publishes it, and settles
/// conflicts with other operators.
class ReviewPage {
public:
  static ConsoleResponse show(PageCall &Call);
  /// Shows the draft after an edit, or the conflict if the form of the edit was
  /// opened on an older version. Notice is shown above.
  static ConsoleResponse afterEdit(PageCall &Call, const HtmlWriter &Notice);
  static ConsoleResponse publish(PageCall &Call);
  /// The draft builds on another version than the one in force.
  static ConsoleResponse conflict(PageCall &Call,
                                  const HtmlWriter &Notice = {});
  /// Moves the draft to the version in force.
  static ConsoleResponse rebase(PageCall &Call);

  /// Records a post to publish whose form token is wrong.
  static void recordForgery(const ConsoleContext &Context, Time Now,
                            const ConsoleRequest &Request,
                            const std::string &Operator);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_REVIEWPAGE_H
