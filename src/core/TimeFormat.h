#ifndef PARSLEYRING_CORE_TIMEFORMAT_H
#define PARSLEYRING_CORE_TIMEFORMAT_H

#include "parsleyring/Types.h"

namespace parsleyring {

/// Formats as "YYYY-MM-DD HH:MM:SS.UUUUUU UTC".
std::string formatTime(Time At);

/// Formats as "12.345 ms", or as "1.234 s" from one second on.
std::string formatDuration(Duration Length);

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TIMEFORMAT_H
