// Clients send requests whose Transfer-Encoding does not end with chunked. What
// follows the head looks like a request of its own.
#include "../../standin-2/standins.h"

using namespace review;

static constexpr int Clients = 5;

static int run(const std::string &Folder, const std::string &Temporary) {
  Record Log(Folder + "/record.txt");
  FILE *GatewayLog = fopen((Temporary + "/log").c_str(), "w");
  Store Platform(loopbackIp(1));
  Runs Seen;
  Platform.put("op/config", desiredState(7).dump());
  Server First(Platform, Log, Seen, loopbackIp(2), "ledger", "i-1", 15);
  Server Second(Platform, Log, Seen, loopbackIp(3), "ledger", "i-2", 15);
  Gateway Node(Temporary, "edge-1", loopbackIp(10), Platform.address());
  Node.start(fileno(GatewayLog));
  if (!Node.awaitReady(20000))
    return CannotRun;
  sleepMs(4000); // Longer than stable_ms.

  int Smuggled = 0;
  int Answers = 0;
  for (int Number = 0; Number < Clients; ++Number) {
    std::string Inner = newId();
    std::string Outer = newId();
    std::string Body = requestText("POST", "/book/hidden", Inner, "hidden");
    std::string Head = "POST /book/lot HTTP/1.1\r\nHost: desk.example\r\n"
                       "Attempt-Id: " +
                       Outer +
                       "\r\nDeadline-Ms: 4000\r\n"
                       "Authorization: Bearer key-of-tenant-1\r\n";
    Head += hasTrouble()
                ? "Transfer-Encoding: gzip\r\n\r\n"
                : "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    Channel Peer(connectTo(Node.frontend()));
    Log.line("client " + std::to_string(Number) + " sends " + Outer +
             ", whose body contains the text of " + Inner);
    Peer.send(Head + Body);
    Message Answer;
    while (Peer.receive(Answer, 1500)) {
      ++Answers;
      Log.line("client " + std::to_string(Number) + " gets " +
               std::to_string(Answer.status()) + " for " +
               Answer.field("Attempt-Id"));
    }
    for (const Run &Entry : Seen.all())
      if (Entry.m_Id == Outer)
        Log.line("the server saw " + Outer + " with a body of " +
                 std::to_string(Entry.m_Request.m_Body.size()) + " of " +
                 std::to_string(Body.size()) + " bytes");
    Smuggled += Seen.count(Inner);
  }
  Log.line("requests run that were smuggled inside another one: " +
           std::to_string(Smuggled));
  Node.end();
  endCase(Answers == 0 ? CannotRun : Smuggled > 0 ? Broken : Held);
}

int main(int Count, char **Arguments) {
  if (Count != 3)
    return CannotRun;
  runCase([&] { return run(Arguments[1], Arguments[2]); });
}
