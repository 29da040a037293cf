#include "emulator/TokenText.h"

#include <xxhash.h>

namespace parsleyring {

static constexpr std::size_t PrefixStepBytes = 256;

std::uint64_t promptSeed(std::string_view Prompt) {
  return XXH3_64bits(Prompt.data(), Prompt.size());
}

std::string tokenText(std::uint64_t PromptSeed, std::uint32_t Position) {
  std::uint64_t Hash =
      XXH3_64bits_withSeed(&Position, sizeof(Position), PromptSeed);
  std::string Text = " ";
  for (int Letter = 0; Letter < 4; ++Letter, Hash /= 26)
    Text += static_cast<char>('a' + Hash % 26);
  return Text;
}

std::string answerText(std::string_view Prompt, std::uint32_t Tokens) {
  std::uint64_t Seed = promptSeed(Prompt);
  std::string Text;
  for (std::uint32_t Position = 0; Position < Tokens; ++Position)
    Text += tokenText(Seed, Position);
  return Text;
}

std::vector<std::uint64_t> prefixHashes(std::string_view Text) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t End = PrefixStepBytes; End <= Text.size();
       End += PrefixStepBytes)
    Hashes.push_back(XXH64(Text.data(), End, 0));
  return Hashes;
}

} // namespace parsleyring
