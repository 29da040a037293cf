#include "admission/MemoryBudget.h"

#include "support/SeedRange.h"
#include "support/TestMain.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const Time Start{std::chrono::hours(1)};
static constexpr std::size_t KiB = 1 << 10;
static constexpr std::size_t MiB = 1 << 20;
static constexpr std::size_t MaxBody = 4 * MiB;
static constexpr std::size_t MaxHead = 16 * KiB;
static constexpr std::size_t SmallBody = 8 * KiB;
static constexpr std::size_t FirstCapacity = 4 * KiB;

namespace {

using Reservations = std::vector<std::unique_ptr<MemoryReservation>>;

std::vector<std::size_t> limits() {
  std::vector<std::size_t> Limits;
  for (std::size_t MemoryMB : {112, 160, 260, 512})
    Limits.push_back(MemoryMB * MiB / 2);
  return Limits;
}

MemoryReservation &add(Reservations &To, MemoryBudget &Budget, MemoryUse Use,
                       const std::string &Client) {
  To.push_back(std::make_unique<MemoryReservation>(Budget, Use, Client));
  return *To.back();
}

/// Receives a request as connections do: the body grows by doubling.
bool receive(Reservations &To, MemoryBudget &Budget, const std::string &Client,
             std::size_t Head, std::size_t Body) {
  if (!add(To, Budget, MemoryUse::RequestHead, Client).tryResize(Head))
    return false;
  MemoryReservation &Memory = add(To, Budget, MemoryUse::RequestBody, Client);
  for (std::size_t Size = std::min(FirstCapacity, Body);;
       Size = std::min(2 * Size, Body)) {
    if (!Memory.tryResize(Size))
      return false;
    if (Size == Body)
      return true;
  }
}

std::size_t requestBytes(const MemoryBudget &Budget) {
  return Budget.used(MemoryUse::RequestHead) +
         Budget.used(MemoryUse::RequestBody);
}

void checkSums(const MemoryBudget &Budget) {
  std::size_t Sum = 0;
  for (std::size_t Use = 0; Use < MemoryUseCount; ++Use)
    Sum += Budget.used(static_cast<MemoryUse>(Use));
  CHECK_EQUAL(Sum, Budget.used());
  CHECK(Budget.used() <= Budget.limit());
  CHECK(requestBytes(Budget) <= Budget.requestLimit());
}

void checkEmpty(const MemoryBudget &Budget) {
  CHECK_EQUAL(std::size_t(0), Budget.used());
  CHECK_EQUAL(std::size_t(0), Budget.clients());
  for (std::size_t Use = 0; Use < MemoryUseCount; ++Use)
    CHECK_EQUAL(std::size_t(0), Budget.used(static_cast<MemoryUse>(Use)));
}

/// Fills the requests' memory with requests of one size and of so many clients.
void crowd(Reservations &To, MemoryBudget &Budget, int Clients,
           std::size_t Body) {
  std::size_t Attempts = 2 * Budget.limit() / Body + 100;
  for (std::size_t Index = 0; Index < Attempts; ++Index) {
    receive(To, Budget, "crowd" + std::to_string(Index % Clients), KiB, Body);
    checkSums(Budget);
  }
}

void ignoreRefusal() {}

} // namespace

TEST_GROUP(MemoryBudget){};

// Guards against refusing a request within the limits that comes alone.
TEST(MemoryBudget, LargestRequestFitsAlone) {
  for (std::size_t Limit : limits()) {
    MemoryBudget Budget(Limit);
    Reservations Held;
    CHECK(receive(Held, Budget, "a", MaxHead, MaxBody));
    Held.clear();
    checkEmpty(Budget);
  }
}

// Guards against a crowd of any size and number of clients that takes more than
// the requests' part, leaves no room for answers, or is counted wrongly.
TEST(MemoryBudget, CrowdsStayWithinTheirPart) {
  for (std::size_t Limit : limits())
    for (int Clients : {1, 2, 7, 100, 1000})
      for (std::size_t Body : {SmallBody, 60 * KiB, 500 * KiB, MaxBody}) {
        MemoryBudget Budget(Limit);
        Reservations Held;
        crowd(Held, Budget, Clients, Body);
        MemoryReservation Answer(Budget, MemoryUse::Answer, "a");
        CHECK(Answer.tryResize(Limit - Budget.requestLimit()));
        checkSums(Budget);
        CHECK(Answer.tryResize(0));
        Held.clear();
        checkEmpty(Budget);
      }
}

// Guards against a crowd of one client, or of a few, that leaves no room for
// another one, also if its requests are so small that they may take the last
// part.
TEST(MemoryBudget, LaterClientGetsRoomBesideACrowd) {
  for (std::size_t Limit : limits())
    for (int Clients : {1, 2, 3})
      for (std::size_t Body : {SmallBody, 60 * KiB, 500 * KiB, MaxBody}) {
        MemoryBudget Budget(Limit);
        Reservations Held;
        crowd(Held, Budget, Clients, Body);
        CHECK(receive(Held, Budget, "later", MaxHead, SmallBody));
        checkSums(Budget);
      }
}

// Guards against large bodies that starve small ones: many clients with large
// bodies leave the last part.
TEST(MemoryBudget, SmallRequestsGetRoomBesideLargeOnes) {
  for (std::size_t Limit : limits()) {
    MemoryBudget Budget(Limit);
    Reservations Held;
    for (int Client = 0; Client < 1000; ++Client) {
      MemoryReservation &Body = add(Held, Budget, MemoryUse::RequestBody,
                                    "large" + std::to_string(Client));
      for (std::size_t Size : {MaxBody, MiB, 128 * KiB})
        if (Body.tryResize(Size))
          break;
      checkSums(Budget);
    }
    for (int Client = 0; Client < 50; ++Client)
      CHECK(receive(Held, Budget, "small" + std::to_string(Client), KiB,
                    SmallBody));
    checkSums(Budget);
  }
}

// Guards against a client that goes on growing when others have little room.
TEST(MemoryBudget, ClientMayHoldAsMuchAsRemainsFree) {
  MemoryBudget Budget(64 * MiB);
  MemoryReservation Other(Budget, MemoryUse::RequestBody, "other");
  CHECK(Other.tryResize(KiB));
  Reservations Held;
  while (add(Held, Budget, MemoryUse::RequestBody, "a").tryResize(64 * KiB)) {
  }
  std::size_t Free = Budget.requestLimit() - requestBytes(Budget);
  std::size_t Own = requestBytes(Budget) - KiB;
  CHECK(Own <= Free);
  CHECK(Own + 2 * 64 * KiB > Free);
}

// Guards against answers and output that are held back while there is memory,
// and against requests taken when answers fill the limit.
TEST(MemoryBudget, AnswersMayTakeAllAndThenNothingIsTaken) {
  for (std::size_t Limit : limits()) {
    MemoryBudget Budget(Limit);
    MemoryReservation Answer(Budget, MemoryUse::Answer, "a");
    MemoryReservation Output(Budget, MemoryUse::Output, "b");
    CHECK(!Budget.isTight());
    CHECK(Answer.tryResize(Limit / 2));
    CHECK(!Budget.isTight());
    CHECK(Output.tryResize(Limit - Limit / 2));
    CHECK(Budget.isTight());
    Reservations Held;
    CHECK(!receive(Held, Budget, "c", KiB, KiB));
    CHECK(!Answer.tryResize(Limit / 2 + 1));
    checkSums(Budget);
    CHECK(Output.tryResize(0));
    CHECK(receive(Held, Budget, "c", MaxHead, MaxBody));
  }
}

// Guards against wrong decisions after memory in use has been recorded beyond
// the limit, and for sizes whose sum overflows.
TEST(MemoryBudget, ForcedGrowthIsCountedAndStopsAllOther) {
  MemoryBudget Budget(MiB);
  MemoryReservation Output(Budget, MemoryUse::Output, "a");
  Output.resize(2 * MiB);
  MemoryReservation Body(Budget, MemoryUse::RequestBody, "b");
  CHECK(!Body.tryResize(1));
  CHECK(!Body.tryResize(std::numeric_limits<std::size_t>::max()));
  CHECK(Output.tryResize(MiB / 2));
  CHECK(!Body.tryResize(std::numeric_limits<std::size_t>::max()));
  CHECK(Body.tryResize(1));
}

// Guards against bytes that stay with the address after the account is known.
TEST(MemoryBudget, MovesBytesToTheAccount) {
  MemoryBudget Budget(64 * MiB);
  {
    MemoryReservation Head(Budget, MemoryUse::RequestHead, "10.0.0.1");
    CHECK(Head.tryResize(KiB));
    Head.setClient("account");
    CHECK_EQUAL(std::size_t(1), Budget.clients());
    CHECK_EQUAL(KiB, Budget.used());
    // The account is alone only if nothing is left under the address.
    MemoryReservation Body(Budget, MemoryUse::RequestBody, "account");
    CHECK(Body.tryResize(40 * MiB));
  }
  checkEmpty(Budget);
}

// Guards against refusing requests in another order than that in which they
// stalled, those that make progress, wait for room or are in progress, and
// those of clients that hold less.
TEST(MemoryBudget, FindsStalledRequestsInOrder) {
  MemoryBudget Budget(64 * MiB);
  MemoryReservation First(Budget, MemoryUse::RequestHead, "a");
  MemoryReservation Second(Budget, MemoryUse::RequestHead, "b");
  MemoryReservation Active(Budget, MemoryUse::RequestHead, "a");
  MemoryReservation Small(Budget, MemoryUse::RequestHead, "c");
  for (MemoryReservation *Each : {&First, &Second, &Active})
    Each->resize(100 * KiB);
  Small.resize(KiB);
  Small.beginReceipt(Start, ignoreRefusal);
  Active.beginReceipt(Start + 1ms, ignoreRefusal);
  First.beginReceipt(Start + 2ms, ignoreRefusal);
  Second.beginReceipt(Start + 3ms, ignoreRefusal);
  POINTERS_EQUAL(nullptr, Budget.stalledRequest("new", Start + 999ms));
  Active.noteReceived(16 * KiB, Start + 900ms);
  // Too few bytes to count as progress.
  First.noteReceived(16 * KiB - 1, Start + 900ms);
  Time Now = Start + 1100ms;
  // Holds nothing, so all hold more.
  POINTERS_EQUAL(&Small, Budget.stalledRequest("new", Now));
  MemoryReservation Waiting(Budget, MemoryUse::RequestHead, "d");
  Waiting.resize(2 * KiB);
  POINTERS_EQUAL(&First, Budget.stalledRequest("d", Now));
  // A request that waits for room is taken out while it does.
  First.endReceipt();
  POINTERS_EQUAL(&Second, Budget.stalledRequest("d", Now));
  Second.endReceipt();
  POINTERS_EQUAL(nullptr, Budget.stalledRequest("d", Now));
  POINTERS_EQUAL(&Active, Budget.stalledRequest("d", Now + 1s));
  Second.beginReceipt(Now, ignoreRefusal);
  POINTERS_EQUAL(&Active, Budget.stalledRequest("d", Now + 2s));
  Active.endReceipt();
  POINTERS_EQUAL(&Second, Budget.stalledRequest("d", Now + 2s));
}

// Guards against a search that ends early if a receipt began before the last
// progress of another one.
TEST(MemoryBudget, FindsStalledRequestThatBeganInThePast) {
  MemoryBudget Budget(64 * MiB);
  MemoryReservation Late(Budget, MemoryUse::RequestHead, "a");
  MemoryReservation Early(Budget, MemoryUse::RequestHead, "a");
  Late.beginReceipt(Start + 500ms, ignoreRefusal);
  Early.beginReceipt(Start, ignoreRefusal);
  POINTERS_EQUAL(&Early, Budget.stalledRequest("a", Start + 1s));
  Late.noteReceived(16 * KiB, Start + 600ms);
  Early.noteReceived(16 * KiB, Start + 550ms);
  POINTERS_EQUAL(&Early, Budget.stalledRequest("a", Start + 1550ms));
}

// Guards against a refused request that stays listed, or is freed in its own
// handler while it is used.
TEST(MemoryBudget, StalledCrowdMakesRoom) {
  MemoryBudget Budget(64 * MiB);
  std::vector<std::unique_ptr<MemoryReservation>> Held(200);
  for (auto &Each : Held) {
    Each = std::make_unique<MemoryReservation>(Budget, MemoryUse::RequestBody,
                                               "crowd");
    if (!Each->tryResize(MiB)) {
      Each.reset();
      break;
    }
    Each->beginReceipt(Start, [&Each] { Each.reset(); });
  }
  MemoryReservation Waiting(Budget, MemoryUse::RequestBody, "other");
  CHECK(!Waiting.tryResize(MaxBody));
  int Refused = 0;
  while (!Waiting.tryResize(MaxBody)) {
    MemoryReservation *Stalled = Budget.stalledRequest("other", Start + 2s);
    CHECK(Stalled != nullptr);
    Stalled->refuse();
    ++Refused;
  }
  CHECK(Refused > 0 && Refused < 42);
  // No more than needed are refused.
  CHECK(Budget.stalledRequest("other", Start + 2s) != nullptr);
  Held.clear();
  POINTERS_EQUAL(nullptr, Budget.stalledRequest("other", Start + 2s));
}

// Guards against an entry that stays listed after its object if it had no
// handler.
TEST(MemoryBudget, ReceiptWithoutHandlerEnds) {
  MemoryBudget Budget(MiB);
  {
    MemoryReservation Body(Budget, MemoryUse::RequestBody, "a");
    Body.beginReceipt(Start, nullptr);
  }
  POINTERS_EQUAL(nullptr, Budget.stalledRequest("a", Start + 5s));
}

// Guards against a surge after which the process keeps its memory, and against
// walks through the heap that are too frequent or for little.
TEST(MemoryBudget, RequestsTrimAfterASurge) {
  MemoryBudget Budget(64 * MiB);
  MemoryReservation Body(Budget, MemoryUse::RequestBody, "a");
  Body.resize(8 * MiB);
  Body.resize(0);
  CHECK(!Budget.takeTrimRequest(Start));
  Body.resize(20 * MiB);
  CHECK(!Budget.takeTrimRequest(Start));
  Body.resize(10 * MiB);
  CHECK(!Budget.takeTrimRequest(Start));
  Body.resize(10 * MiB - 1);
  CHECK(Budget.takeTrimRequest(Start));
  CHECK(!Budget.takeTrimRequest(Start + 10s));
  Body.resize(20 * MiB);
  Body.resize(0);
  CHECK(!Budget.takeTrimRequest(Start + 4999ms));
  CHECK(Budget.takeTrimRequest(Start + 5s));
  CHECK(!Budget.takeTrimRequest(Start + 20s));
}

// Guards against sums that drift or exceed a limit in any order of bursts.
TEST(MemoryBudget, RandomMixesKeepTheSums) {
  for (unsigned Seed : SeedRange(40)) {
    std::mt19937 Random(Seed);
    auto Pick = [&](std::size_t Count) {
      return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
    };
    MemoryBudget Budget(limits()[Pick(4)]);
    Reservations Held;
    for (int Step = 0; Step < 3000; ++Step) {
      auto Use = static_cast<MemoryUse>(Pick(MemoryUseCount));
      std::string Client = "client" + std::to_string(Pick(20));
      std::size_t Size = std::size_t(1) << Pick(23);
      switch (Pick(5)) {
      case 0:
      case 1:
        add(Held, Budget, Use, Client).tryResize(Size);
        break;
      case 2:
        if (!Held.empty())
          Held[Pick(Held.size())]->tryResize(Size);
        break;
      case 3:
        if (!Held.empty())
          Held[Pick(Held.size())]->setClient(Client);
        break;
      default:
        if (!Held.empty())
          Held.erase(Held.begin() +
                     static_cast<std::ptrdiff_t>(Pick(Held.size())));
      }
      checkSums(Budget);
    }
    Held.clear();
    checkEmpty(Budget);
  }
}

PARSLEYRING_TEST_MAIN
