#ifndef PARSLEYRING_CONSOLE_PIPELINEPAGES_H
#define PARSLEYRING_CONSOLE_PIPELINEPAGES_H

#include "console/PageCall.h"

namespace parsleyring {

/// Pages for pipelines: the list, and the form of one pipeline.
class PipelinePages {
public:
  static ConsoleResponse list(PageCall &Call);
  static ConsoleResponse open(PageCall &Call);
  static ConsoleResponse save(PageCall &Call);
  static ConsoleResponse remove(PageCall &Call);
};

} // namespace parsleyring

#endif // PARSLEYRING_CONSOLE_PIPELINEPAGES_H
