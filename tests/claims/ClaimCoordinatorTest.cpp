#include "claims/ClaimCoordinator.h"

#include "support/TestMain.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

namespace {

constexpr Time Start = Time(std::chrono::hours(400000));
constexpr Duration ClaimTimeout = std::chrono::seconds(2);

/// Simulation of the key-value service and its client VMs. Answers can be lost,
/// and writes can take effect after the client gave up.
class SimulatedPlatform {
public:
  explicit SimulatedPlatform(unsigned Seed, double FaultRate)
      : m_FaultRate(FaultRate), m_Random(Seed) {}

  struct Vm {
    std::unique_ptr<ClaimCoordinator> m_Coordinator;
    std::vector<ClaimOutput> m_Outputs;
    bool m_IsPaused = false;
  };

  Vm &add(const std::string &Name) {
    auto Added = std::make_unique<Vm>();
    Added->m_Coordinator =
        std::make_unique<ClaimCoordinator>(Incarnation{Name, 1}, 7);
    m_Vms.push_back(std::move(Added));
    return *m_Vms.back();
  }

  void request(Vm &Target, RequestNumber Request, const std::string &Key) {
    RequestClaim Claim;
    Claim.m_Request = Request;
    Claim.m_Account = "account";
    Claim.m_IdempotencyKey = Key;
    Claim.m_BodySha256 = "body";
    Claim.m_Deadline = m_Now + ClaimTimeout;
    Target.m_Coordinator->request(m_Now, Claim, Target.m_Outputs);
  }

  /// Advances the time by 1 ms; appends claim results to Settled.
  void step(std::vector<std::pair<Vm *, ClaimOutput>> &Settled) {
    m_Now += std::chrono::milliseconds(1);
    std::deque<Pending> Due;
    std::swap(Due, m_Pending);
    for (Pending &Item : Due) {
      if (Item.m_At > m_Now || (Item.m_IsAnswer && Item.m_Vm->m_IsPaused))
        m_Pending.push_back(std::move(Item));
      else
        Item.m_Run();
    }
    for (auto &Item : m_Vms) {
      if (Item->m_IsPaused)
        continue;
      Item->m_Coordinator->tick(m_Now, Item->m_Outputs);
      executeOutputs(*Item, Settled);
    }
  }

  Time now() const { return m_Now; }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  std::vector<std::unique_ptr<Vm>> &vms() { return m_Vms; }
  std::size_t writes() const { return m_Writes; }
  bool m_IsDown = false;
  double m_FaultRate;

private:
  struct Pending {
    Time m_At;
    Vm *m_Vm = nullptr;
    bool m_IsAnswer = false;
    std::function<void()> m_Run;
  };

  void executeOutputs(Vm &Source,
                      std::vector<std::pair<Vm *, ClaimOutput>> &Settled) {
    std::vector<ClaimOutput> Outputs;
    std::swap(Outputs, Source.m_Outputs);
    for (ClaimOutput &Output : Outputs) {
      if (auto *Read = std::get_if<ReadShard>(&Output))
        startRead(Source, *Read);
      else if (auto *Swap = std::get_if<SwapShard>(&Output))
        startSwap(Source, *Swap);
      else
        Settled.emplace_back(&Source, Output);
    }
  }

  Duration delay() { return Duration(int(uniform() * 20000)); }

  void schedule(Duration After, Vm &Target, bool IsAnswer,
                std::function<void()> Run) {
    m_Pending.push_back({m_Now + After, &Target, IsAnswer, std::move(Run)});
  }

  void startRead(Vm &Source, const ReadShard &Call) {
    bool IsLost = m_IsDown || uniform() < m_FaultRate;
    schedule(delay(), Source, true, [this, &Source, Call, IsLost] {
      if (IsLost)
        return Source.m_Coordinator->readFailed(m_Now, Call.m_Shard,
                                                Source.m_Outputs);
      std::optional<PlatformValue> Value;
      auto Found = m_Values.find(Call.m_Shard);
      if (Found != m_Values.end())
        Value = Found->second;
      Source.m_Coordinator->shardRead(m_Now, Call.m_Shard, Value,
                                      Source.m_Outputs);
    });
  }

  bool apply(const SwapShard &Call) {
    ++m_Writes;
    PlatformValue &Value = m_Values[Call.m_Shard];
    if (Value.m_ModifyIndex != Call.m_Expected)
      return false;
    Value = {Call.m_Value, ++m_Index};
    return true;
  }

  void startSwap(Vm &Source, const SwapShard &Call) {
    double Fault = uniform();
    if (m_IsDown || Fault < m_FaultRate) {
      // The client sees an error, yet some of these writes take effect, up to
      // 0.5 s later.
      if (Fault < m_FaultRate * 0.7)
        schedule(delay() * 25, Source, false, [this, Call] { apply(Call); });
      schedule(delay(), Source, true, [this, &Source, Call] {
        Source.m_Coordinator->swapFailed(m_Now, Call.m_Shard,
                                         PlatformError::Kind::Unknown,
                                         Source.m_Outputs);
      });
      return;
    }
    schedule(delay(), Source, false, [this, &Source, Call] {
      bool IsWritten = apply(Call);
      schedule(delay(), Source, true, [this, &Source, Call, IsWritten] {
        Source.m_Coordinator->shardSwapped(m_Now, Call.m_Shard, IsWritten,
                                           Source.m_Outputs);
      });
    });
  }

  std::mt19937_64 m_Random;
  Time m_Now = Start;
  std::map<std::string, PlatformValue> m_Values;
  std::uint64_t m_Index = 0;
  std::size_t m_Writes = 0;
  std::deque<Pending> m_Pending;
  std::vector<std::unique_ptr<Vm>> m_Vms;
};

std::string uuidAt(Time At, unsigned Number) {
  char Text[80];
  std::uint64_t Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                             At.time_since_epoch())
                             .count();
  snprintf(Text, sizeof Text, "%08llx-%04llx-7%03x-8000-%012x",
           static_cast<unsigned long long>(Millis >> 16),
           static_cast<unsigned long long>(Millis & 0xffff), Number & 0xfff,
           Number);
  return Text;
}

struct ClaimCounts {
  std::map<std::string, int> m_Runs;
  std::map<RequestNumber, std::string> m_Keys;
  std::set<RequestNumber> m_Settled;
  std::map<ClaimResult, int> m_Results;
};

/// Counts each granted claim as a run of its key, unless it is released, and
/// checks that each request is settled once.
void countResults(
    SimulatedPlatform &Platform, ClaimCounts &Counts,
    std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> &Items) {
  for (auto &[Source, Output] : Items) {
    ClaimSettled Settlement;
    if (auto *Found = std::get_if<ExistingClaim>(&Output)) {
      Settlement.m_Request = Found->m_Request.m_Request;
      Settlement.m_Result = ClaimResult::InProgress;
    } else {
      Settlement = std::get<ClaimSettled>(Output);
    }
    CHECK_TEXT(Counts.m_Settled.insert(Settlement.m_Request).second,
               "a request was settled twice");
    ++Counts.m_Results[Settlement.m_Result];
    if (Settlement.m_Result != ClaimResult::Granted)
      continue;
    EndClaim End;
    End.m_Request = Settlement.m_Request;
    if (Platform.uniform() < 0.3) {
      End.m_End =
          ClaimFinalState::Released; // Provably not run, so not counted.
    } else {
      ++Counts.m_Runs[Counts.m_Keys[Settlement.m_Request]];
    }
    if (Platform.uniform() < 0.9)
      Source->m_Coordinator->end(Platform.now(), End, Source->m_Outputs);
  }
  Items.clear();
}

/// Sends requests with the same keys to several VMs during outages, lost
/// answers, late writes and pauses.
ClaimCounts runRandomFaults(unsigned Seed) {
  SimulatedPlatform Platform(Seed, 0.25);
  for (const char *Name : {"a", "b", "c"})
    Platform.add(Name);
  ClaimCounts Counts;
  std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> Items;
  RequestNumber Request = 0;
  for (int Step = 0; Step < 20000; ++Step) {
    if (Step < 12000 && Platform.uniform() < 0.05) {
      auto &Target = *Platform.vms()[int(Platform.uniform() * 3)];
      unsigned Number = unsigned(Platform.uniform() * 40);
      std::string Key =
          Number % 2 ? "key-" + std::to_string(Number) : uuidAt(Start, Number);
      Counts.m_Keys[++Request] = Key;
      if (!Target.m_IsPaused)
        Platform.request(Target, Request, Key);
      else
        Counts.m_Keys.erase(Request);
    }
    if (Platform.uniform() < 0.002)
      Platform.m_IsDown = Step < 12000 && !Platform.m_IsDown;
    for (auto &Item : Platform.vms())
      if (Platform.uniform() < 0.001)
        Item->m_IsPaused = Step < 12000 && !Item->m_IsPaused;
    if (Step == 12000) {
      Platform.m_FaultRate = 0;
      for (auto &Item : Platform.vms())
        Item->m_IsPaused = Platform.m_IsDown = false;
    }
    Platform.step(Items);
    countResults(Platform, Counts, Items);
  }
  LONGS_EQUAL(Counts.m_Keys.size(), Counts.m_Settled.size());
  for (auto &Item : Platform.vms())
    LONGS_EQUAL(0, Item->m_Coordinator->pendingCount());
  return Counts;
}

} // namespace

TEST_GROUP(ClaimCoordinator){};

// Guards against two VMs running a call with the same key when writes take
// effect late, answers are lost, VMs pause, or claims are released and taken
// again.
TEST(ClaimCoordinator, AtMostOneRunPerKeyUnderFaults) {
  int Granted = 0;
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    ClaimCounts Counts = runRandomFaults(Seed);
    Granted += Counts.m_Results[ClaimResult::Granted];
    for (const auto &[Key, Runs] : Counts.m_Runs)
      CHECK_TEXT(Runs <= 1, ("seed " + std::to_string(Seed) + " key " + Key +
                             " ran " + std::to_string(Runs) + " times")
                                .c_str());
  }
  // Ensures that claims were granted, so that the check above has an effect.
  CHECK(Granted > 40 * 20);
}

// Guards against one write per claim, a rate that the platform cannot sustain.
TEST(ClaimCoordinator, ClaimsOfAShardShareWrites) {
  SimulatedPlatform Platform(1, 0);
  auto &Vm = Platform.add("a");
  ClaimCounts Counts;
  for (RequestNumber Request = 1; Request <= 6400; ++Request) {
    Counts.m_Keys[Request] = "key-" + std::to_string(Request);
    Platform.request(Vm, Request, Counts.m_Keys[Request]);
  }
  std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> Items;
  for (int Step = 0; Step < 1000; ++Step) {
    Platform.step(Items);
    countResults(Platform, Counts, Items);
  }
  LONGS_EQUAL(6400, Counts.m_Results[ClaimResult::Granted]);
  CHECK(Platform.writes() < 1000);
}

// Guards against a released key that cannot be claimed again, and a completed
// key that can.
TEST(ClaimCoordinator, OnlyReleasedKeyCanBeClaimedAgain) {
  SimulatedPlatform Platform(1, 0);
  auto &First = Platform.add("a");
  auto &Second = Platform.add("b");
  std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> Items;
  auto Settle = [&](SimulatedPlatform::Vm &Vm, RequestNumber Request) {
    Platform.request(Vm, Request, "key");
    for (Items.clear(); Items.empty();)
      Platform.step(Items);
    return Items.front().second;
  };
  auto Finish = [&](SimulatedPlatform::Vm &Vm, RequestNumber Request,
                    ClaimFinalState FinalState) {
    Vm.m_Coordinator->end(Platform.now(), {Request, FinalState, 200},
                          Vm.m_Outputs);
    while (Vm.m_Coordinator->pendingCount() > 0)
      Platform.step(Items);
  };
  CHECK(std::get<ClaimSettled>(Settle(First, 1)).m_Result ==
        ClaimResult::Granted);
  CHECK(std::holds_alternative<ExistingClaim>(Settle(Second, 2)));
  Finish(First, 1, ClaimFinalState::Released);
  CHECK(std::get<ClaimSettled>(Settle(Second, 3)).m_Result ==
        ClaimResult::Granted);
  Finish(Second, 3, ClaimFinalState::Completed);
  ClaimOutput Repeat = Settle(First, 4);
  CHECK(std::get<ExistingClaim>(Repeat).m_Entry.m_State ==
        ClaimState::Completed);
}

// Guards against a claim that is settled after its deadline, and against a
// grant after the caller was told that the call was not run.
TEST(ClaimCoordinator, ClaimFailsAtTheDeadlineDuringAnOutage) {
  SimulatedPlatform Platform(3, 0);
  auto &Vm = Platform.add("a");
  Platform.m_IsDown = true;
  Platform.request(Vm, 1, "key");
  std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> Items;
  while (Items.empty())
    Platform.step(Items);
  CHECK(std::get<ClaimSettled>(Items.front().second).m_Result ==
        ClaimResult::Unavailable);
  CHECK(Platform.now() <= Start + ClaimTimeout + std::chrono::milliseconds(2));
  Platform.m_IsDown = false;
  Items.clear();
  while (Vm.m_Coordinator->pendingCount() > 0)
    Platform.step(Items);
  CHECK(Items.empty());
  Platform.request(Vm, 2, "key");
  while (Items.empty())
    Platform.step(Items);
  CHECK(std::get<ClaimSettled>(Items.front().second).m_Result ==
        ClaimResult::Granted);
}

// Guards against accepting a key so old that its claim entry may have been
// removed.
TEST(ClaimCoordinator, KeysOutsideTheAcceptedTimeSpanAreRejected) {
  auto KeyError = [](Duration Age, const std::string &Suffix) {
    return makeClaimKey(Start, "a", uuidAt(Start - Age, 1) + Suffix).m_Error;
  };
  CHECK(KeyError(std::chrono::hours(23), "").empty());
  CHECK_FALSE(KeyError(std::chrono::hours(25), "").empty());
  CHECK(KeyError(-std::chrono::minutes(4), "").empty());
  CHECK_FALSE(KeyError(-std::chrono::minutes(6), "").empty());
  // With a suffix the key is not a UUID and carries no time.
  CHECK(KeyError(std::chrono::hours(25), "x").empty());
  CHECK_FALSE(makeClaimKey(Start, "a", "").m_Error.empty());
}

// Guards against memory growth from calls whose outcome stays unknown.
TEST(ClaimCoordinator, GrantsThatAreNeverEndedExpire) {
  SimulatedPlatform Platform(1, 0);
  auto &Vm = Platform.add("a");
  Platform.request(Vm, 1, "key");
  std::vector<std::pair<SimulatedPlatform::Vm *, ClaimOutput>> Items;
  while (Items.empty())
    Platform.step(Items);
  LONGS_EQUAL(1, Vm.m_Coordinator->grantedCount());
  Vm.m_Coordinator->tick(Platform.now() + ClaimEntryLifetime + Duration(1),
                         Vm.m_Outputs);
  LONGS_EQUAL(0, Vm.m_Coordinator->grantedCount());
}

PARSLEYRING_TEST_MAIN
