#ifndef PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H
#define PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H

#include "support/TestCluster.h"

#include <atomic>
#include <thread>

namespace parsleyring {

/// What is wrong with the answer to a completion; empty if it is whole, is the
/// answer to this prompt and has its explicit end.
std::string answerProblem(const HttpAnswer &Answer, const std::string &Prompt,
                          unsigned Tokens, bool IsStreamed);

/// Completions of different prompts that run side by side, spread over the
/// routers; two of three are streamed.
class CompletionBatch {
public:
  CompletionBatch(const TestCluster &Cluster, unsigned Callers,
                  unsigned Tokens);
  ~CompletionBatch();

  /// Waits until the streams together have so many pieces, or have ended.
  bool waitForPieces(unsigned Count) const;
  /// Waits for all ends; a line for each answer that is not whole.
  std::string problems();
  /// Ids of the requests; complete after problems().
  std::vector<std::string> requests() const;

private:
  struct Caller {
    std::string m_Router;
    std::string m_Prompt;
    bool m_IsStreamed = false;
    HttpAnswer m_Answer;
    std::thread m_Thread;
  };

  void run(Caller &Subject);

  const TestCluster &m_Cluster;
  const unsigned m_Tokens;
  std::atomic<unsigned> m_Pieces{0};
  std::atomic<unsigned> m_Ended{0};
  std::vector<Caller> m_Callers;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H
