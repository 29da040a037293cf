#include "gateway/StreamRequestFields.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace parsleyring {

static constexpr std::size_t MaxPartIdLength = 64;

static double leadingNumber(std::string_view Text, double Default) {
  long long Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Error == std::errc() && Number >= 0 ? static_cast<double>(Number)
                                             : Default;
}

// The ids of all parts but the last one. They become keys of the store, so
// others than short words are left out.
static std::vector<std::string> sharedPromptParts(std::string_view Parts) {
  std::vector<std::string> Ids;
  std::size_t Comma;
  while ((Comma = Parts.find(',')) != std::string_view::npos) {
    std::string_view Id = Parts.substr(0, Comma);
    Parts.remove_prefix(Comma + 1);
    Id = Id.substr(0, Id.find(':'));
    Id.remove_prefix(std::min(Id.find_first_not_of(' '), Id.size()));
    bool IsWord = std::all_of(Id.begin(), Id.end(), [](unsigned char Each) {
      return std::isalnum(Each);
    });
    if (IsWord && !Id.empty() && Id.size() <= MaxPartIdLength)
      Ids.emplace_back(Id);
  }
  return Ids;
}

StreamRequestFields::StreamRequestFields(const ForwardJob &Job,
                                         const HeaderNames &Names) {
  const EngineModel Usual = Job.m_Service->m_Engine.value_or(EngineModel());
  std::string Counts = Job.m_Request.field(Names.m_TokenCounts);
  m_PromptTokens = leadingNumber(Counts, Usual.m_UsualPromptTokens);
  double MaxAnswer = Usual.m_UsualAnswerTokens;
  std::size_t Comma = Counts.find(',');
  if (Comma != std::string::npos)
    MaxAnswer =
        leadingNumber(std::string_view(Counts).substr(Comma + 1), MaxAnswer);
  double Hint = leadingNumber(Job.m_Request.field(Names.m_LengthHint),
                              Usual.m_UsualAnswerTokens);
  m_AnswerTokens = std::max(1.0, std::min(MaxAnswer, Hint));
  m_SharedParts = sharedPromptParts(Job.m_Request.field(Names.m_PromptParts));
  m_LastEventId = static_cast<std::uint64_t>(
      leadingNumber(Job.m_Request.field(Names.m_LastEventId), 0));
}

} // namespace parsleyring
