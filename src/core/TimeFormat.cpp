#include "core/TimeFormat.h"

#include <cstdio>
#include <ctime>

namespace parsleyring {

std::string formatTime(Time At) {
  auto Seconds = std::chrono::floor<std::chrono::seconds>(At);
  std::time_t WholeSeconds = Seconds.time_since_epoch().count();
  std::tm Parts{};
  char Date[64];
  if (!::gmtime_r(&WholeSeconds, &Parts) ||
      std::strftime(Date, sizeof(Date), "%Y-%m-%d %H:%M:%S", &Parts) == 0)
    return "an unknown time";
  char Fraction[32];
  std::snprintf(Fraction, sizeof(Fraction), ".%06d UTC",
                static_cast<int>((At - Seconds).count()));
  return std::string(Date) + Fraction;
}

std::string formatDuration(Duration Length) {
  char Text[64];
  bool IsLong = Length >= std::chrono::seconds(1);
  std::snprintf(Text, sizeof(Text), IsLong ? "%.3f s" : "%.3f ms",
                static_cast<double>(Length.count()) / (IsLong ? 1e6 : 1e3));
  return Text;
}

} // namespace parsleyring
