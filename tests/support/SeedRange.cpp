#include "support/SeedRange.h"

#include <cstdlib>
#include <string>

namespace parsleyring {

static unsigned numberFromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text ? static_cast<unsigned>(std::stoul(Text)) : Default;
}

SeedRange::SeedRange(unsigned Count) {
  unsigned First = numberFromEnvironment("PARSLEYRING_FIRST_SEED", 1);
  Count = numberFromEnvironment("PARSLEYRING_SEEDS", Count);
  for (unsigned Seed = First; Seed < First + Count; ++Seed)
    m_Seeds.push_back(Seed);
}

} // namespace parsleyring
