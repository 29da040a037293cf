// The reader of a gateway's log ends. Clients have requests in progress.
#include "../../standin-2/standins.h"

using namespace review;

static constexpr int Clients = 12;
static constexpr int WorkMs = 400;
// RULES.md, LOST: more than three times.
static constexpr int AllowedLosses = 3;

/// A process that copies what it reads to a file, like a collector of logs.
static pid_t startCollector(int Input, int UnusedOutput,
                            const std::string &Path) {
  pid_t Process = fork();
  if (Process != 0)
    return Process;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  close(UnusedOutput);
  FILE *File = fopen(Path.c_str(), "w");
  char Bytes[4096];
  for (ssize_t Size; (Size = read(Input, Bytes, sizeof(Bytes))) > 0;) {
    fwrite(Bytes, 1, Size, File);
    fflush(File);
  }
  _exit(0);
}

static int run(const std::string &Folder, const std::string &Temporary) {
  Record Log(Folder + "/record.txt");
  // Before any thread is started.
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    return CannotRun;
  pid_t Collector = startCollector(Pipe[0], Pipe[1], Temporary + "/log");
  close(Pipe[0]);

  Store Platform(loopbackIp(1));
  Runs Seen;
  Platform.put("op/config", desiredState(7).dump());
  Server First(Platform, Log, Seen, loopbackIp(2), "ledger", "i-1", WorkMs);
  Server Second(Platform, Log, Seen, loopbackIp(3), "ledger", "i-2", WorkMs);
  Gateway Node(Temporary, "edge-1", loopbackIp(10), Platform.address());
  Node.start(Pipe[1]);
  close(Pipe[1]);
  if (!Node.awaitReady(20000))
    return CannotRun;
  sleepMs(4000); // Longer than stable_ms.

  std::atomic<bool> IsOver{false};
  std::mutex Mutex;
  std::set<std::string> Cut; // Requests whose channel ended without an answer.
  int Answered = 0;
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Clients; ++Number)
    Threads.emplace_back([&, Number] {
      sleepMs(Number * WorkMs / Clients);
      Channel Kept(connectTo(Node.frontend()));
      for (int Sent = 0; Kept.isOpen() && !IsOver; ++Sent) {
        std::string Id = newId();
        Log.line("client " + std::to_string(Number) + " sends " + Id);
        Kept.send(requestText("POST", "/book/lot", Id, "lot"));
        Message Answer;
        if (!Kept.receive(Answer, 6000)) {
          Log.line(
              "client " + std::to_string(Number) + ": channel ends, " + Id +
              " has no answer; requests on it before: " + std::to_string(Sent));
          std::lock_guard<std::mutex> Lock(Mutex);
          if (Sent > 0)
            Cut.insert(Id);
          return;
        }
        Log.line("client " + std::to_string(Number) + ": " + Id + " has " +
                 std::to_string(Answer.status()));
        std::lock_guard<std::mutex> Lock(Mutex);
        Answered += Answer.status() == 200;
      }
    });
  sleepMs(3000);
  if (hasTrouble()) {
    Log.line("the collector of the log is killed");
    kill(Collector, SIGKILL);
  }
  sleepMs(3000);
  IsOver = true;
  for (std::thread &Each : Threads)
    Each.join();
  int Status = Node.endedStatus();
  if (Status != -1)
    Log.line("the gateway has ended by itself, " +
             (WIFSIGNALED(Status)
                  ? "by signal " + std::to_string(WTERMSIG(Status))
                  : "with status " + std::to_string(WEXITSTATUS(Status))));
  else
    Node.end();
  kill(Collector, SIGKILL);
  waitpid(Collector, nullptr, 0);
  int Lost = 0;
  for (const std::string &Id : Cut)
    Lost += Seen.count(Id) > 0;
  Log.line("answered: " + std::to_string(Answered) +
           "; run by a server, then channel closed without an answer: " +
           std::to_string(Lost) +
           ", allowed: " + std::to_string(AllowedLosses));
  endCase(Answered == 0 ? CannotRun : Lost > AllowedLosses ? Broken : Held);
}

int main(int Count, char **Arguments) {
  if (Count != 3)
    return CannotRun;
  runCase([&] { return run(Arguments[1], Arguments[2]); });
}
