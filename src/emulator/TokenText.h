#ifndef PARSLEYRING_EMULATOR_TOKENTEXT_H
#define PARSLEYRING_EMULATOR_TOKENTEXT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

/// Stands for the prompt in the texts of its tokens.
std::uint64_t promptSeed(std::string_view Prompt);

/// Text of the token at Position, always the same for the same prompt.
std::string tokenText(std::uint64_t PromptSeed, std::uint32_t Position);

/// All texts of an answer, joined.
std::string answerText(std::string_view Prompt, std::uint32_t Tokens);

/// XXH64 of the prefixes in steps of 256 bytes, shortest first, as the routers
/// compute them. A remainder of less than 256 bytes has no hash.
std::vector<std::uint64_t> prefixHashes(std::string_view Text);

} // namespace parsleyring

#endif // PARSLEYRING_EMULATOR_TOKENTEXT_H
