#ifndef PARSLEYRING_CONSOLE_REVIEWPAGE_H
#define PARSLEYRING_CONSOLE_REVIEWPAGE_H

#include "console/PageCall.h"

namespace parsleyring {

/// Shows a draft with its findings and differences, publishes it, and resolves
/// conflicts with other operators.
class ReviewPage {
public:
  static ConsoleResponse show(PageCall &Call);
  /// Shows the draft after an edit, or the conflict if the edited form was
  /// opened on an older version. Notice is shown at the top.
  static ConsoleResponse afterEdit(PageCall &Call, const HtmlWriter &Notice);
  static ConsoleResponse publish(PageCall &Call);
  /// Page for a draft that is not based on the version in force.
  static ConsoleResponse conflict(PageCall &Call,
                                  const HtmlWriter &Notice = {});
  /// Rebases the draft on the version in force, without conflicting changes.
  static ConsoleResponse rebase(PageCall &Call);

  /// Records a publish request with an invalid form token.
  static void recordForgery(const ConsoleContext &Context, Time Now,
                            const ConsoleRequest &Request,
                            const std::string &Operator);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_REVIEWPAGE_H
