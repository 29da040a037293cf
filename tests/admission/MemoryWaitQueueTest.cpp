#include "admission/MemoryWaitQueue.h"

#include "support/TestMain.h"

#include <deque>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static constexpr std::size_t Limit = 1 << 20;

namespace {

/// Waits until it can reserve its memory.
class FakeWaiter final : public MemoryWaiter {
public:
  FakeWaiter(MemoryBudget &Budget, std::size_t Bytes)
      : m_Memory(Budget, MemoryUse::Output, ""), m_Bytes(Bytes) {}

  bool retryReceipt(Time) override {
    ++m_Retries;
    m_IsNested = m_IsNested || IsRetrying;
    IsRetrying = true;
    m_IsServed = m_Memory.tryResize(m_Bytes);
    // A request that is served at once releases its memory during the retry.
    if (m_IsServed && m_EndsAtOnce)
      m_Memory.resize(0);
    IsRetrying = false;
    if (m_Throws)
      throw std::runtime_error("retry");
    return m_IsServed;
  }
  bool refuseStalled(Time) override { return false; }

  MemoryReservation m_Memory;
  std::size_t m_Bytes;
  int m_Retries = 0;
  bool m_IsServed = false;
  bool m_EndsAtOnce = false;
  bool m_Throws = false;
  bool m_IsNested = false;
  static bool IsRetrying;
};

bool FakeWaiter::IsRetrying = false;

} // namespace

TEST_GROUP(MemoryWaitQueue) {
  MemoryBudget m_Budget{Limit};
  MemoryReservation m_Holder{m_Budget, MemoryUse::Output, ""};
  std::deque<MemoryWaitQueue::Task> m_Posted;
  std::vector<std::shared_ptr<FakeWaiter>> m_Waiters;
  std::unique_ptr<MemoryWaitQueue> m_Queue;

  void setup() override {
    m_Queue = std::make_unique<MemoryWaitQueue>(
        std::vector<MemoryBudget *>{&m_Budget}, [] { return Time(); },
        [this](MemoryWaitQueue::Task Task) {
          m_Posted.push_back(std::move(Task));
        },
        [](const MemoryWaitQueue::Task &Task) {
          try {
            Task();
          } catch (const std::runtime_error &) {
          }
        });
    m_Holder.resize(Limit);
  }
  FakeWaiter &add(std::size_t Bytes) {
    m_Waiters.push_back(std::make_shared<FakeWaiter>(m_Budget, Bytes));
    m_Queue->add(m_Waiters.back());
    return *m_Waiters.back();
  }
  void runPosted() {
    MemoryWaitQueue::Task Task = std::move(m_Posted.front());
    m_Posted.pop_front();
    Task();
  }
  int retries() const {
    int Sum = 0;
    for (const auto &Waiter : m_Waiters)
      Sum += Waiter->m_Retries;
    return Sum;
  }
};

// Guards against requests that wait for the next tick although memory has been
// released, and against a retry in the middle of the release.
TEST(MemoryWaitQueue, ReleaseWakesTheWaiters) {
  FakeWaiter &Waiter = add(1000);
  LONGS_EQUAL(0, m_Posted.size());
  m_Holder.resize(Limit - 2000);
  LONGS_EQUAL(1, m_Posted.size());
  LONGS_EQUAL(0, Waiter.m_Retries);
  // Further releases need no further wake-up.
  m_Holder.resize(Limit - 3000);
  LONGS_EQUAL(1, m_Posted.size());
  runPosted();
  CHECK(Waiter.m_IsServed);
  LONGS_EQUAL(0, m_Queue->size());
  LONGS_EQUAL(0, m_Posted.size());
  m_Holder.resize(0);
  LONGS_EQUAL(0, m_Posted.size());
}

// Guards against an event loop that is held up by many waiters, and against
// waiters that are left although there is room for them.
TEST(MemoryWaitQueue, WorkOfAWakeUpIsBounded) {
  for (int Index = 0; Index < 100; ++Index)
    add(100).m_EndsAtOnce = true;
  m_Holder.resize(Limit - 1000);
  int Before = 0;
  while (!m_Posted.empty()) {
    runPosted();
    CHECK(retries() - Before <=
          static_cast<int>(MemoryWaitQueue::MaxRetriesPerWake));
    CHECK(m_Posted.size() <= 1);
    Before = retries();
  }
  for (const auto &Waiter : m_Waiters) {
    CHECK(Waiter->m_IsServed);
    CHECK_FALSE(Waiter->m_IsNested);
  }
  LONGS_EQUAL(0, m_Queue->size());
}

// Guards against wake-ups without end while there is no room.
TEST(MemoryWaitQueue, NoProgressEndsTheWakeUps) {
  for (int Index = 0; Index < 20; ++Index)
    add(5000);
  m_Holder.resize(Limit - 1000);
  runPosted();
  LONGS_EQUAL(0, m_Posted.size());
  LONGS_EQUAL(MemoryWaitQueue::MaxRetriesPerWake, retries());
  // The others are tried by the next wake-up, and all by a tick.
  m_Holder.resize(Limit - 1001);
  runPosted();
  LONGS_EQUAL(2 * MemoryWaitQueue::MaxRetriesPerWake, retries());
  m_Queue->tick();
  LONGS_EQUAL(2 * MemoryWaitQueue::MaxRetriesPerWake + 20, retries());
  LONGS_EQUAL(20, m_Queue->size());
}

// Guards against one waiter that fails, or is gone, and keeps the others
// waiting.
TEST(MemoryWaitQueue, FailureOfOneDoesNotLoseTheOthers) {
  add(100).m_Throws = true;
  FakeWaiter &Last = add(100);
  m_Queue->add(std::weak_ptr<MemoryWaiter>());
  m_Holder.resize(0);
  runPosted();
  CHECK(Last.m_IsServed);
  LONGS_EQUAL(0, m_Queue->size());
}

// Guards against a wake-up that runs after the node has ended.
TEST(MemoryWaitQueue, WakeUpAfterTheEndDoesNothing) {
  FakeWaiter &Waiter = add(100);
  m_Holder.resize(0);
  m_Queue.reset();
  runPosted();
  LONGS_EQUAL(0, Waiter.m_Retries);
  m_Holder.resize(100);
  m_Holder.resize(0);
  LONGS_EQUAL(0, m_Posted.size());
}

PARSLEYRING_TEST_MAIN
