#include "callers/AnswerStore.h"

#include "support/TestMain.h"

#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using std::chrono::seconds;

TEST_GROUP(AnswerStore) {
  AnswerStore m_Store{seconds(600), 10000};
  Time m_Now{seconds(1000)};

  std::shared_ptr<Answer> create(RequestNumber Number) {
    return m_Store.create(Number, std::make_shared<CallerPayload>());
  }

  void finish(RequestNumber Number, Outcome End = Outcome::Completed) {
    FinishRequest Finish;
    Finish.m_Request = Number;
    Finish.m_Outcome = End;
    m_Store.finish(m_Now, Finish);
  }
};

// Guards against a waiting reader that misses tokens or the end.
TEST(AnswerStore, ReaderSeesAllTokensAndTheEnd) {
  auto Written = create(1);
  std::string Text;
  std::thread Reader([&] {
    for (std::uint32_t Next = 0;;) {
      auto Progress = Written->waitFor(Next, seconds(60));
      for (const std::string &Token : Progress.m_Tokens)
        Text += Token;
      Next += static_cast<std::uint32_t>(Progress.m_Tokens.size());
      if (Progress.m_IsEnded)
        return;
    }
  });
  for (std::uint32_t Position = 0; Position < 10; ++Position)
    Written->appendToken(Position, std::to_string(Position));
  finish(1);
  Reader.join();
  STRCMP_EQUAL("0123456789", Text.c_str());
}

// Guards against tokens that are stored twice, out of order or after the end.
TEST(AnswerStore, OnlyTheNextTokenIsAccepted) {
  auto Written = create(1);
  Written->appendToken(0, "a");
  CHECK_THROWS(std::logic_error, Written->appendToken(0, "b"));
  CHECK_THROWS(std::logic_error, Written->appendToken(2, "c"));
  finish(1);
  CHECK_THROWS(std::logic_error, Written->appendToken(1, "d"));
  CHECK(Written->payload() == nullptr);
}

// Guards against retained answers that exhaust memory or expire too early.
TEST(AnswerStore, AnswersExpireByAgeAndBytes) {
  create(1);
  finish(1);
  m_Now += seconds(600);
  m_Store.expire(m_Now);
  CHECK(m_Store.find(1) != nullptr);
  m_Now += seconds(1);
  m_Store.expire(m_Now);
  CHECK(m_Store.find(1) == nullptr);
  create(2)->appendToken(0, std::string(6000, 'x'));
  create(3)->appendToken(0, std::string(6000, 'x'));
  create(4)->appendToken(0, std::string(60000, 'x'));
  finish(2);
  finish(3);
  CHECK(m_Store.find(2) == nullptr);
  CHECK(m_Store.find(3) != nullptr);
  CHECK(m_Store.find(4) != nullptr); // Still in progress.
  CHECK(m_Store.keptBytes() <= 10000);
}

// Guards against a repeat that gets the answer of a call that was not run.
TEST(AnswerStore, KeysOfCallsNotRunAreReleased) {
  create(1);
  m_Store.recordKey(1, "account", "key");
  CHECK(m_Store.findByKey("account", "key") == m_Store.find(1));
  CHECK(m_Store.findByKey("other", "key") == nullptr);
  finish(1, Outcome::NotRun);
  CHECK(m_Store.findByKey("account", "key") == nullptr);
}

// Guards against a repeat that gets the answer of an earlier holder of the key,
// whose call was not run.
TEST(AnswerStore, LastGrantOfAKeyWins) {
  for (RequestNumber Number : {1, 2}) {
    create(Number);
    m_Store.recordKey(Number, "account", "key");
  }
  finish(1, Outcome::NotRun);
  CHECK(m_Store.findByKey("account", "key") == m_Store.find(2));
}

PARSLEYRING_TEST_MAIN
