#include "admission/AdmissionQueue.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionQueue) {
  AdmissionQueue m_Queue;
  Time m_Now{1000s};
  int m_Room = 0;
  std::string m_Sent;
  std::string m_GivenUp;

  RequestNumber join(const std::string &Name, const std::string &Account = "a",
                     int Priority = 0) {
    AdmissionQueue::WaitingRequest Added;
    Added.m_Account = Account;
    Added.m_Priority = Priority;
    Added.m_Until = m_Now + 250ms;
    Added.m_Try = [this, Name] {
      if (m_Room == 0)
        return false;
      --m_Room;
      m_Sent += Name;
      return true;
    };
    Added.m_GiveUp = [this, Name] { m_GivenUp += Name; };
    return m_Queue.add(m_Now, std::move(Added));
  }
  void pass(Duration Length) {
    for (Time End = m_Now + Length; m_Now < End;) {
      m_Now += 40ms;
      m_Queue.tick(m_Now);
    }
  }
};

// Pattern: burst. Guards against requests that are refused although an engine
// is full only briefly, and against a later request that overtakes earlier
// ones.
TEST(AdmissionQueue, RequestsGoInOrderOnceThereIsRoom) {
  for (const char *Name : {"1", "2", "3"})
    CHECK(join(Name) != 0);
  pass(80ms);
  STRCMP_EQUAL("", m_Sent.c_str());
  m_Room = 1;
  pass(40ms);
  STRCMP_EQUAL("1", m_Sent.c_str());
  m_Room = 10;
  pass(40ms);
  STRCMP_EQUAL("123", m_Sent.c_str());
  CHECK(m_Queue.empty());
  pass(400ms);
  STRCMP_EQUAL("", m_GivenUp.c_str());
}

// Pattern: lasting overload. Guards against requests that wait beyond their
// deadline, and against a queue that grows without bound.
TEST(AdmissionQueue, GivesUpInTimeAndStaysShort) {
  join("1");
  pass(280ms);
  STRCMP_EQUAL("1", m_GivenUp.c_str());
  for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
    CHECK(join("x") != 0);
  LONGS_EQUAL(0, join("y"));
}

// Pattern: one client account sends far more than the others. Guards against
// other accounts that get no place in the queue, or are not sent in time.
TEST(AdmissionQueue, ALargeAccountDoesNotKeepTheOthersOut) {
  for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
    join("L", "large");
  CHECK(join("s", "small") != 0);
  STRCMP_EQUAL("L", m_GivenUp.c_str());
  m_Room = 2;
  pass(40ms);
  CHECK(m_Sent == "Ls" || m_Sent == "sL");
}

// Guards against high-priority requests that wait behind lower-priority
// requests of the same account.
TEST(AdmissionQueue, UrgentRequestsGoFirst) {
  join("1", "a", -5);
  join("2", "a", 0);
  m_Room = 1;
  pass(40ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
}

// Guards against a request that has no path, because some engines are excluded
// for it, and blocks all requests behind it.
TEST(AdmissionQueue, ARequestWithoutAPathDoesNotHoldUpOthers) {
  AdmissionQueue::WaitingRequest Stuck;
  Stuck.m_Account = "a";
  Stuck.m_Priority = 1;
  Stuck.m_Until = m_Now + 1500ms;
  Stuck.m_Try = [] { return false; };
  Stuck.m_GiveUp = [this] { m_GivenUp += "stuck"; };
  CHECK(m_Queue.add(m_Now, Stuck) != 0);
  join("1");
  join("2", "b");
  m_Room = 10;
  pass(40ms);
  LONGS_EQUAL(2, m_Sent.size());
  STRCMP_EQUAL("", m_GivenUp.c_str());
  CHECK_FALSE(m_Queue.empty());
  pass(1500ms);
  STRCMP_EQUAL("stuck", m_GivenUp.c_str());
}

// Guards against a request that is neither sent nor dropped, because other
// requests filled the queue during the attempt to send it.
TEST(AdmissionQueue, EachRequestIsSentOrGivenUp) {
  AdmissionQueue::WaitingRequest Inviting;
  Inviting.m_Account = "a";
  Inviting.m_Until = m_Now + 250ms;
  Inviting.m_Try = [this] {
    for (std::size_t Count = 0; Count < AdmissionQueue::MaxLength; ++Count)
      join("x", "b");
    return false;
  };
  Inviting.m_GiveUp = [this] { m_GivenUp += "first"; };
  m_Queue.add(m_Now, Inviting);
  pass(40ms);
  pass(600ms);
  CHECK(m_GivenUp.find("first") != std::string::npos);
  CHECK(m_Queue.empty());
}

// Guards against sending or answering a request whose caller has disconnected.
TEST(AdmissionQueue, RemovedRequestsAreNotSent) {
  RequestNumber First = join("1");
  join("2");
  m_Queue.remove(First);
  m_Queue.remove(First);
  m_Room = 5;
  pass(400ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
  STRCMP_EQUAL("", m_GivenUp.c_str());
}

// Guards against a request that is lost when it is rejected during the attempt
// to send it and is queued again.
TEST(AdmissionQueue, ARequestMayJoinAgainWhileItIsSent) {
  int Tries = 0;
  AdmissionQueue::WaitingRequest Added;
  Added.m_Account = "a";
  Added.m_Until = m_Now + 250ms;
  Added.m_Try = [&] {
    if (++Tries == 1)
      join("again");
    return true;
  };
  m_Queue.add(m_Now, Added);
  m_Room = 1;
  pass(120ms);
  LONGS_EQUAL(1, Tries);
  STRCMP_EQUAL("again", m_Sent.c_str());
  CHECK(m_Queue.empty());
}

PARSLEYRING_TEST_MAIN
