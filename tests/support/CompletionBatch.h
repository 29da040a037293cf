#ifndef PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H
#define PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H

#include "support/TestCluster.h"

#include <atomic>
#include <thread>

namespace parsleyring {

/// Empty if the answer to a completion is complete, has the text expected for
/// Prompt and has a correct end; otherwise describes the first error.
std::string answerProblem(const HttpAnswer &Answer, const std::string &Prompt,
                          unsigned Tokens, bool IsStreamed);

/// Concurrent completions of different prompts, distributed over the routers;
/// two of three are streamed.
class CompletionBatch {
public:
  CompletionBatch(const TestCluster &Cluster, unsigned Callers,
                  unsigned Tokens);
  ~CompletionBatch();

  /// Waits until the streams have received Count chunks in total. Returns false
  /// if all completions end earlier, or after the limit of eventually().
  bool waitForChunks(unsigned Count) const;
  /// Waits for all completions; returns one line for each wrong answer.
  std::string problems();
  /// Request ids; to be called after problems().
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
  std::atomic<unsigned> m_Chunks{0};
  std::atomic<unsigned> m_Ended{0};
  std::vector<Caller> m_Callers;
};

} // namespace parsleyring

#endif // PARSLEYRING_TESTS_SUPPORT_COMPLETIONBATCH_H
