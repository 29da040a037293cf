#include "admission/FairQueue.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(FairQueue) {
  FairQueue m_Queue{100};
  Time m_Now{1000s};

  PushResult push(RequestNumber Request, const std::string &Account,
                  double Share = 1, std::int32_t Priority = 0,
                  Duration Deadline = 10s, double Cost = 1) {
    return m_Queue.push(
        m_Now, {Request, Account, Share, Priority, Cost, m_Now + Deadline});
  }
  std::string popAll() {
    std::string Order;
    while (auto Next = m_Queue.pop(m_Now))
      Order += std::to_string(*Next) + " ";
    return Order;
  }
};

// Guards against an account with many requests that delays the others, and
// against shares that have no effect.
TEST(FairQueue, AccountsAreServedByShare) {
  for (RequestNumber Request = 0; Request < 40; ++Request)
    push(Request, "large", 1);
  for (RequestNumber Request = 100; Request < 130; ++Request)
    push(Request, "double", 2);
  int Large = 0;
  for (int Count = 0; Count < 30; ++Count)
    Large += *m_Queue.pop(m_Now) < 100;
  LONGS_EQUAL(10, Large);
  // An account that joins later is neither served ahead to catch up nor delayed
  // until the others are done.
  push(200, "late");
  push(201, "late");
  auto First = m_Queue.pop(m_Now);
  auto Second = m_Queue.pop(m_Now);
  auto Third = m_Queue.pop(m_Now);
  CHECK(First == 200 || Second == 200 || Third == 200);
  CHECK(First != 201 && Second != 201 && Third != 201);
}

// Guards against charging expensive requests the same as cheap ones.
TEST(FairQueue, CostIsCharged) {
  for (RequestNumber Request = 1; Request <= 3; ++Request) {
    push(Request, "costly", 1, 0, 10s, 2);
    push(Request + 10, "cheap");
    push(Request + 20, "cheap");
  }
  STRCMP_EQUAL("11 1 21 12 2 22 13 3 23 ", popAll().c_str());
}

// Guards against a priority that affects other accounts, and against reordering
// of requests of equal priority.
TEST(FairQueue, PriorityWithinTheAccount) {
  push(1, "a");
  push(2, "a", 1, 5);
  push(3, "a", 1, 5);
  push(4, "b", 1, -5);
  STRCMP_EQUAL("2 4 3 1 ", popAll().c_str());
}

// Guards against running a request after its caller was told that it was not
// run.
TEST(FairQueue, RemovalAndExpiry) {
  push(1, "a", 1, 0, 1s);
  push(2, "a");
  push(3, "b");
  CHECK(m_Queue.remove(3));
  CHECK_FALSE(m_Queue.remove(3));
  m_Now += 1s;
  CHECK(m_Queue.front(m_Now) == 2);
  STRCMP_EQUAL("2 ", popAll().c_str());
  LONGS_EQUAL(1, m_Queue.size());
  auto Expired = m_Queue.takeExpired(m_Now);
  LONGS_EQUAL(1, Expired.size());
  LONGS_EQUAL(1, Expired.front());
  LONGS_EQUAL(0, m_Queue.size());
}

// Guards against an unbounded queue, and against one account that fills the
// queue so that the requests of all others are refused.
TEST(FairQueue, FullQueueDisplacesTheLargestAccount) {
  m_Queue.setLimit(4);
  for (RequestNumber Request = 1; Request <= 4; ++Request)
    CHECK(push(Request, "large").m_IsQueued);
  CHECK_FALSE(push(5, "large", 1, 9).m_IsQueued);
  PushResult First = push(6, "small");
  CHECK(First.m_IsQueued && First.m_Displaced == 4);
  PushResult Second = push(7, "small");
  CHECK(Second.m_IsQueued && Second.m_Displaced == 3);
  CHECK_FALSE(push(8, "small").m_IsQueued);
  LONGS_EQUAL(4, m_Queue.size());
  STRCMP_EQUAL("1 6 2 7 ", popAll().c_str());
}

PARSLEYRING_TEST_MAIN
