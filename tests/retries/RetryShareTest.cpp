#include "retries/RetryShare.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static const RetryBound Bound{0.2, 200, 10s};

static int takeAll(RetryShare &Share, Time Now) {
  int Taken = 0;
  while (Taken < 1000 && Share.tryTake(Now))
    ++Taken;
  return Taken;
}

TEST_GROUP(RetryShare) { Time m_Now{1000s}; };

// Guards against VMs that together exceed the bound when each uses up its share
// and, after a simultaneous restart of all VMs, uses up a new share.
TEST(RetryShare, AllVMsTogetherKeepTheBoundAfterRestart) {
  const std::size_t VMs = 8;
  int Before = 0;
  int After = 0;
  for (std::size_t VM = 0; VM < VMs; ++VM) {
    RetryShare Old(Bound, m_Now - 1h);
    Old.setVMCount(VMs);
    Before += takeAll(Old, m_Now);
    RetryShare Restarted(Bound, m_Now + 1s);
    After += takeAll(Restarted, m_Now + 2s);
  }
  CHECK(Before + After <= 200);
  CHECK(Before >= 100);
}

// Guards against a VM that temporarily sees no other VMs and takes their
// shares.
TEST(RetryShare, ShareStaysWhileOtherVMsAreNotListed) {
  RetryShare Share(Bound, m_Now - 1h);
  Share.setVMCount(40);
  Share.setVMCount(1);
  CHECK(takeAll(Share, m_Now) <= 5);
}

// Guards against retries that multiply the load on a failing service.
TEST(RetryShare, ShareGrowsWithTheRequestsOfTheWindow) {
  RetryShare Share(Bound, m_Now - 1h);
  Share.setVMCount(1000);
  for (int Request = 0; Request < 100; ++Request)
    Share.noteRequest(m_Now);
  int Taken = takeAll(Share, m_Now);
  // Three quarters of the ratio; the rest is reserved.
  CHECK(Taken >= 15 && Taken <= 20);
  LONGS_EQUAL(0, takeAll(Share, m_Now + 9s));
}

// Guards against a share that stays used up after its window has ended.
TEST(RetryShare, ShareIsAvailableAgainAfterTheWindow) {
  RetryShare Share(Bound, m_Now - 1h);
  int Taken = takeAll(Share, m_Now);
  LONGS_EQUAL(Taken, takeAll(Share, m_Now + 10s));
}

PARSLEYRING_TEST_MAIN
