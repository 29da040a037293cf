#include "support/Eventually.h"

#include <thread>

namespace parsleyring {

static constexpr std::chrono::milliseconds PollInterval{10};

bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace parsleyring
