#include "admission/WaitingLine.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

TEST_GROUP(WaitingLine) {
  WaitingLine m_Line;
  Time m_Now{1000s};
  int m_Room = 0;
  std::string m_Sent;
  std::string m_GivenUp;

  RequestNumber join(const std::string &Name, const std::string &Account = "a",
                     int Priority = 0) {
    WaitingLine::Visitor Joining;
    Joining.m_Account = Account;
    Joining.m_Priority = Priority;
    Joining.m_Until = m_Now + 250ms;
    Joining.m_Try = [this, Name] {
      if (m_Room == 0)
        return false;
      --m_Room;
      m_Sent += Name;
      return true;
    };
    Joining.m_GiveUp = [this, Name] { m_GivenUp += Name; };
    return m_Line.add(m_Now, std::move(Joining));
  }
  void pass(Duration Length) {
    for (Time End = m_Now + Length; m_Now < End;) {
      m_Now += 40ms;
      m_Line.tick(m_Now);
    }
  }
};

// Pattern: burst. Guards against requests that are refused although an engine
// is full for a moment only, and against a later one that overtakes them.
TEST(WaitingLine, RequestsGoInOrderOnceThereIsRoom) {
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
  CHECK(m_Line.empty());
  pass(400ms);
  STRCMP_EQUAL("", m_GivenUp.c_str());
}

// Pattern: lasting overload. Guards against requests that wait longer than
// they are told to, and against a line that grows.
TEST(WaitingLine, GivesUpInTimeAndStaysShort) {
  join("1");
  pass(280ms);
  STRCMP_EQUAL("1", m_GivenUp.c_str());
  for (std::size_t Count = 0; Count < WaitingLine::MaxLength; ++Count)
    CHECK(join("x") != 0);
  LONGS_EQUAL(0, join("y"));
}

// Pattern: one client account sends far more than the others. Guards against
// accounts that get no place, or none in time, beside it.
TEST(WaitingLine, ALargeAccountDoesNotKeepTheOthersOut) {
  for (std::size_t Count = 0; Count < WaitingLine::MaxLength; ++Count)
    join("L", "large");
  CHECK(join("s", "small") != 0);
  STRCMP_EQUAL("L", m_GivenUp.c_str());
  m_Room = 2;
  pass(40ms);
  CHECK(m_Sent == "Ls" || m_Sent == "sL");
}

// Guards against urgent requests that wait behind others of their account.
TEST(WaitingLine, UrgentRequestsGoFirst) {
  join("1", "a", -5);
  join("2", "a", 0);
  m_Room = 1;
  pass(40ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
}

// Guards against a request that has no path left, because it must not use some
// engines again, and holds up all others behind it.
TEST(WaitingLine, ARequestWithoutAPathDoesNotHoldUpOthers) {
  WaitingLine::Visitor Stuck;
  Stuck.m_Account = "a";
  Stuck.m_Priority = 1;
  Stuck.m_Until = m_Now + 1500ms;
  Stuck.m_Try = [] { return false; };
  Stuck.m_GiveUp = [this] { m_GivenUp += "stuck"; };
  CHECK(m_Line.add(m_Now, Stuck) != 0);
  join("1");
  join("2", "b");
  m_Room = 10;
  pass(40ms);
  LONGS_EQUAL(2, m_Sent.size());
  STRCMP_EQUAL("", m_GivenUp.c_str());
  CHECK_FALSE(m_Line.empty());
  pass(1500ms);
  STRCMP_EQUAL("stuck", m_GivenUp.c_str());
}

// Guards against a request that is neither sent nor given up, because others
// took its place while it was tried.
TEST(WaitingLine, EachRequestIsSentOrGivenUp) {
  WaitingLine::Visitor Inviting;
  Inviting.m_Account = "a";
  Inviting.m_Until = m_Now + 250ms;
  Inviting.m_Try = [this] {
    for (std::size_t Count = 0; Count < WaitingLine::MaxLength; ++Count)
      join("x", "b");
    return false;
  };
  Inviting.m_GiveUp = [this] { m_GivenUp += "first"; };
  m_Line.add(m_Now, Inviting);
  pass(40ms);
  pass(600ms);
  CHECK(m_GivenUp.find("first") != std::string::npos);
  CHECK(m_Line.empty());
}

// Guards against a caller that has left and is sent on, or answered, later.
TEST(WaitingLine, RemovedRequestsAreNotSent) {
  RequestNumber First = join("1");
  join("2");
  m_Line.remove(First);
  m_Line.remove(First);
  m_Room = 5;
  pass(400ms);
  STRCMP_EQUAL("2", m_Sent.c_str());
  STRCMP_EQUAL("", m_GivenUp.c_str());
}

// Guards against a request that is rejected at once while it is sent, and
// joins the line again.
TEST(WaitingLine, ARequestMayJoinAgainWhileItIsSent) {
  int Tries = 0;
  WaitingLine::Visitor Joining;
  Joining.m_Account = "a";
  Joining.m_Until = m_Now + 250ms;
  Joining.m_Try = [&] {
    if (++Tries == 1)
      join("again");
    return true;
  };
  m_Line.add(m_Now, Joining);
  m_Room = 1;
  pass(120ms);
  LONGS_EQUAL(1, Tries);
  STRCMP_EQUAL("again", m_Sent.c_str());
  CHECK(m_Line.empty());
}

PARSLEYRING_TEST_MAIN
