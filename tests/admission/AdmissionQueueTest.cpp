#include "admission/AdmissionQueue.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionQueue) {
  AdmissionQueue m_Queue;
  Time m_Now{1000s};
  int m_Capacity = 0;
  std::string m_Sent;
  std::string m_Dropped;

  RequestNumber enqueue(const std::string &Name,
                        const std::string &Account = "a", int Priority = 0) {
    AdmissionQueue::WaitingRequest Added;
    Added.m_Account = Account;
    Added.m_Priority = Priority;
    Added.m_Until = m_Now + 250ms;
    Added.m_TrySend = [this, Name] {
      if (m_Capacity == 0)
        return false;
      --m_Capacity;
      m_Sent += Name;
      return true;
    };
    Added.m_OnDropped = [this, Name] { m_Dropped += Name; };
    return m_Queue.add(m_Now, std::move(Added));
  }
  void advance(Duration Length) {
    for (Time End = m_Now + Length; m_Now < End;) {
      m_Now += 40ms;
      m_Queue.tick(m_Now);
    }
  }
};

// Pattern: burst. Guards against requests that are refused although an engine
// is full only briefly, and against a later request that overtakes earlier
// ones.
TEST(AdmissionQueue, RequestsAreSentInOrderOnceThereIsCapacity) {
  for (const char *Name : {"1", "2", "3"})
    CHECK(enqueue(Name) != 0);
  advance(80ms);
  STRCMP_EQUAL("", m_Sent.c_str());
  m_Capacity = 1;
  advance(40ms);
  STRCMP_EQUAL("1", m_Sent.c_str());
  m_Capacity = 10;
  advance(40ms);
  STRCMP_EQUAL("123", m_Sent.c_str());
  CHECK(m_Queue.empty());
  advance(400ms);
  STRCMP_EQUAL("", m_Dropped.c_str());
}

// Pattern: lasting overload. Guards against requests that wait beyond their
// deadline, and against a queue that grows without bound.
TEST(AdmissionQueue, ExpiredRequestsAreDroppedAndLengthIsBounded) {
  enqueue("1");
  advance(280ms);
  STRCMP_EQUAL("1", m_Dropped.c_str());
  for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
    CHECK(enqueue("x") != 0);
  LONGS_EQUAL(0, enqueue("y"));
}

// Pattern: one client account sends far more than the others. Guards against
// other accounts that get no place in the queue, or are not sent in time.
TEST(AdmissionQueue, LargeAccountDoesNotBlockOthers) {
  for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
    enqueue("L", "large");
  CHECK(enqueue("s", "small") != 0);
  STRCMP_EQUAL("L", m_Dropped.c_str());
  m_Capacity = 2;
  advance(40ms);
  CHECK(m_Sent == "Ls" || m_Sent == "sL");
}

// Guards against high-priority requests that wait behind lower-priority
// requests of the same account.
TEST(AdmissionQueue, HighPriorityRequestsAreSentFirst) {
  enqueue("1", "a", -5);
  enqueue("2", "a", 0);
  m_Capacity = 1;
  advance(40ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
}

// Guards against a request that has no path, because some engines are excluded
// for it, and blocks all requests behind it.
TEST(AdmissionQueue, RequestWithoutPathDoesNotBlockOthers) {
  AdmissionQueue::WaitingRequest Blocked;
  Blocked.m_Account = "a";
  Blocked.m_Priority = 1;
  Blocked.m_Until = m_Now + 1500ms;
  Blocked.m_TrySend = [] { return false; };
  Blocked.m_OnDropped = [this] { m_Dropped += "stuck"; };
  CHECK(m_Queue.add(m_Now, Blocked) != 0);
  enqueue("1");
  enqueue("2", "b");
  m_Capacity = 10;
  advance(40ms);
  LONGS_EQUAL(2, m_Sent.size());
  STRCMP_EQUAL("", m_Dropped.c_str());
  CHECK_FALSE(m_Queue.empty());
  advance(1500ms);
  STRCMP_EQUAL("stuck", m_Dropped.c_str());
}

// Guards against a request that is neither sent nor dropped, because other
// requests filled the queue during the attempt to send it.
TEST(AdmissionQueue, EachRequestIsSentOrDropped) {
  AdmissionQueue::WaitingRequest Refilling;
  Refilling.m_Account = "a";
  Refilling.m_Until = m_Now + 250ms;
  Refilling.m_TrySend = [this] {
    for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
      enqueue("x", "b");
    return false;
  };
  Refilling.m_OnDropped = [this] { m_Dropped += "first"; };
  m_Queue.add(m_Now, Refilling);
  advance(40ms);
  advance(600ms);
  CHECK(m_Dropped.find("first") != std::string::npos);
  CHECK(m_Queue.empty());
}

// Guards against sending or answering a request whose caller has disconnected.
TEST(AdmissionQueue, RemovedRequestsAreNotSent) {
  RequestNumber First = enqueue("1");
  enqueue("2");
  m_Queue.remove(First);
  m_Queue.remove(First);
  m_Capacity = 5;
  advance(400ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
  STRCMP_EQUAL("", m_Dropped.c_str());
}

// Guards against a request that is lost when it is rejected during the attempt
// to send it and is queued again.
TEST(AdmissionQueue, RequestMayBeQueuedAgainWhileItIsSent) {
  int Tries = 0;
  AdmissionQueue::WaitingRequest Added;
  Added.m_Account = "a";
  Added.m_Until = m_Now + 250ms;
  Added.m_TrySend = [&] {
    if (++Tries == 1)
      enqueue("again");
    return true;
  };
  m_Queue.add(m_Now, Added);
  m_Capacity = 1;
  advance(120ms);
  LONGS_EQUAL(1, Tries);
  STRCMP_EQUAL("again", m_Sent.c_str());
  CHECK(m_Queue.empty());
}

PARSLEYRING_TEST_MAIN
