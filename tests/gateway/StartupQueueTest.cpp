#include "gateway/StartupQueue.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(StartupQueue) {
  StartupQueue m_Queue;
  const Time m_Start{1h};

  bool add(const std::string &Target, Time ReceivedAt,
           std::optional<Duration> CallerTimeout = std::nullopt) {
    CallerRequest Request;
    Request.m_Target = Target;
    Request.m_ReceivedAt = ReceivedAt;
    return m_Queue.add(Request, nullptr, CallerTimeout);
  }
};

// Guards against requests that overtake each other when the configuration
// arrives.
TEST(StartupQueue, KeepsTheOrderOfArrival) {
  CHECK(add("/1", m_Start));
  CHECK(add("/2", m_Start + 1ms));
  CHECK(m_Queue.takeDue(m_Start + 2ms).empty());
  auto All = m_Queue.takeAll();
  LONGS_EQUAL(2, All.size());
  STRCMP_EQUAL("/1", All[0].m_Request.m_Target.c_str());
  STRCMP_EQUAL("/2", All[1].m_Request.m_Target.c_str());
  CHECK(m_Queue.empty());
}

// Guards against callers that wait for a VM that never gets a configuration.
TEST(StartupQueue, EndsEachWait) {
  CHECK(add("/long", m_Start));
  CHECK(add("/brief", m_Start, Duration(200ms)));
  Time BriefEnd = m_Start + 200ms / StartupQueue::CallerTimeoutPart;
  CHECK(m_Queue.takeDue(BriefEnd - 1ms).empty());
  auto Due = m_Queue.takeDue(BriefEnd);
  LONGS_EQUAL(1, Due.size());
  STRCMP_EQUAL("/brief", Due[0].m_Request.m_Target.c_str());
  Due = m_Queue.takeDue(m_Start + StartupQueue::MaxWait);
  LONGS_EQUAL(1, Due.size());
  STRCMP_EQUAL("/long", Due[0].m_Request.m_Target.c_str());
}

// Guards against a crowd that fills the memory of a VM without configuration.
TEST(StartupQueue, IsBounded) {
  for (std::size_t Index = 0; Index < StartupQueue::MaxLength; ++Index)
    CHECK(add("/", m_Start));
  CallerRequest Request;
  Request.m_Target = "/kept";
  CHECK_FALSE(m_Queue.add(Request, nullptr, std::nullopt));
  STRCMP_EQUAL("/kept", Request.m_Target.c_str());
}

PARSLEYRING_TEST_MAIN
