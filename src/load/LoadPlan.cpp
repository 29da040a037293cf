#include "load/LoadPlan.h"

#include "core/SocketAddress.h"

#include <cmath>
#include <random>
#include <stdexcept>

namespace parsleyring {

namespace {
/// Random numbers that are the same with every standard library, unlike those
/// of the distributions of <random>.
class RandomNumbers {
public:
  explicit RandomNumbers(std::uint64_t Seed) : m_Generator(Seed) {}

  /// In [0, 1).
  double uniform() {
    return static_cast<double>(m_Generator() >> 11) * 0x1p-53;
  }

  double exponentialInterval(double PerSecond) {
    return -std::log(1 - uniform()) / PerSecond;
  }

  std::size_t below(std::size_t End) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(End));
  }

private:
  std::mt19937_64 m_Generator;
};
} // namespace

static void checkOptions(const LoadOptions &Options) {
  if (Options.m_Routers.empty() || Options.m_Accounts.empty())
    throw std::invalid_argument(
        "at least one router and one account are required");
  for (const std::string &Router : Options.m_Routers)
    if (!parseSocketAddress(Router))
      throw std::invalid_argument("router is not IP:port: " + Router);
  if (Options.m_CallsPerSecond <= 0 || Options.m_DurationSeconds <= 0 ||
      Options.m_MinTokens > Options.m_MaxTokens || Options.m_PrefixCount == 0)
    throw std::invalid_argument(
        "rate, seconds, token counts or prefixes out of range");
  if (Options.m_CallsPerSecond * Options.m_DurationSeconds >
      static_cast<double>(MaxPlannedCalls))
    throw std::invalid_argument("the run has more than " +
                                std::to_string(MaxPlannedCalls) + " calls");
}

static std::size_t pickAccount(const LoadOptions &Options, double Draw) {
  double TotalWeight = 0;
  for (const LoadAccount &Account : Options.m_Accounts)
    TotalWeight += Account.m_Weight;
  double RemainingWeight = Draw * TotalWeight;
  for (std::size_t Index = 0; Index < Options.m_Accounts.size(); ++Index) {
    RemainingWeight -= Options.m_Accounts[Index].m_Weight;
    if (RemainingWeight < 0)
      return Index;
  }
  return Options.m_Accounts.size() - 1;
}

static std::string promptText(const LoadOptions &Options, std::size_t Prefix,
                              std::size_t Call) {
  std::string Text = "prefix " + std::to_string(Options.m_Seed) + "-" +
                     std::to_string(Prefix) + " ";
  Text.resize(std::max<std::size_t>(Text.size(), Options.m_PrefixBytes), '.');
  return Text + " call " + std::to_string(Call);
}

std::vector<PlannedCall> planCalls(const LoadOptions &Options) {
  checkOptions(Options);
  RandomNumbers Random(Options.m_Seed);
  std::vector<PlannedCall> Calls;
  double DueAt = Random.exponentialInterval(Options.m_CallsPerSecond);
  for (; DueAt < Options.m_DurationSeconds && Calls.size() < MaxPlannedCalls;
       DueAt += Random.exponentialInterval(Options.m_CallsPerSecond)) {
    PlannedCall Call;
    Call.m_DueAt =
        std::chrono::microseconds(static_cast<std::int64_t>(DueAt * 1e6));
    Call.m_Number = Calls.size();
    Call.m_Router = Random.below(Options.m_Routers.size());
    Call.m_Account = pickAccount(Options, Random.uniform());
    Call.m_IsService = Random.uniform() < Options.m_ServiceShare;
    Call.m_Tokens = Options.m_MinTokens +
                    static_cast<std::uint32_t>(Random.below(
                        Options.m_MaxTokens - Options.m_MinTokens + 1));
    Call.m_Prompt =
        promptText(Options, Random.below(Options.m_PrefixCount), Call.m_Number);
    Calls.push_back(std::move(Call));
  }
  return Calls;
}

} // namespace parsleyring
