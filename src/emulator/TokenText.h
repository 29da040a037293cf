#ifndef PARSLEYRING_EMULATOR_TOKENTEXT_H
#define PARSLEYRING_EMULATOR_TOKENTEXT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

/// Hash of the prompt, from which the texts of its tokens are generated.
std::uint64_t promptSeed(std::string_view Prompt);

/// Text of the token at Position; the same for the same prompt.
std::string tokenText(std::uint64_t PromptSeed, std::uint32_t Position);

/// The whole answer of the given number of tokens to the prompt.
std::string answerText(std::string_view Prompt, std::uint32_t Tokens);

/// XXH64 hashes of the prefixes of 256, 512, ... bytes, shortest first. A
/// remainder of less than 256 bytes is ignored.
std::vector<std::uint64_t> prefixHashes(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_TOKENTEXT_H
