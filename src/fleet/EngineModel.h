#ifndef PARSLEYRING_FLEET_ENGINEMODEL_H
#define PARSLEYRING_FLEET_ENGINEMODEL_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

/// One kind of accelerator card.
struct CardKind {
  std::string m_Name;
  double m_MemoryMegabytes = 0;
  double m_StepFactor = 1;    ///< Multiplies the time of a token step.
  double m_PrefillFactor = 1; ///< Multiplies the time of reading a prompt.
};

/// Costs of a layered model and of the engines that run it.
struct EngineModel {
  std::uint32_t m_Layers = 0;
  double m_LayerMegabytes = 0;
  double m_CacheBytesPerToken = 0; ///< Over all layers.
  double m_StepMilliseconds = 0;
  double m_StepMillisecondsPerSequence = 0;
  double m_PrefillTokensPerMillisecond = 1;
  double m_TokensPerEvent = 1;
  double m_ActivationBytesPerToken = 0;
  double m_PipeMegabitsPerSecond = 0;  ///< Between two failure domains.
  double m_LoadMilliseconds = 0;       ///< Time to load all layers.
  std::uint32_t m_ConcurrentLoads = 1; ///< More at once slow each other down.
  double m_UsualPromptTokens = 0;
  double m_UsualAnswerTokens = 0;
  std::vector<CardKind> m_CardKinds;

  const CardKind *cardKind(std::string_view Name) const {
    for (const CardKind &Kind : m_CardKinds)
      if (Kind.m_Name == Name)
        return &Kind;
    return nullptr;
  }
};

} // namespace parsleyring

#endif // PARSLEYRING_FLEET_ENGINEMODEL_H
