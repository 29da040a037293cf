// The operator takes the last tenants away. Requests come with the key of one
// of them, with a key that never existed, and without one.
#include "../standin-2/standins.h"

using namespace review;

static constexpr int Tenants = 10;
static constexpr int ApplyMs = 2000; // config_apply_ms
static constexpr int Repetitions = 5;
// Of the days of the site file: keys taken away at once, and the pause after.
static constexpr int MaxTakenAway = 3;
static constexpr int GapMs = 1500;

static Json stateWith(int Version, int TenantCount) {
  Json State = desiredState(Version);
  State["tenants"] = Json::array();
  for (int Number = 1; Number <= TenantCount; ++Number) {
    std::string Name = "tenant-" + std::to_string(Number);
    State["tenants"].push_back(
        {{"name", Name}, {"api_keys", {"key-of-" + Name}}});
  }
  return State;
}

/// Sends a request with the given Authorization field and returns its id.
static std::string send(Record &Log, Gateway &Node,
                        const std::string &Credentials) {
  std::string Id = newId();
  std::string Text = "POST /book/lot HTTP/1.1\r\nHost: desk.example\r\n"
                     "Attempt-Id: " +
                     Id + "\r\nDeadline-Ms: 4000\r\n";
  if (!Credentials.empty())
    Text += "Authorization: Bearer " + Credentials + "\r\n";
  Channel Peer(connectTo(Node.frontend()));
  Peer.send(Text + "Content-Length: 3\r\n\r\nlot");
  Message Answer;
  bool HasAnswer = Peer.receive(Answer, 6000);
  Log.line("client sends " + Id + " with " +
           (Credentials.empty() ? "no key" : "the key " + Credentials) +
           ", gets " + (HasAnswer ? Answer.m_Start : "no answer"));
  return Id;
}

static int run(const std::string &Folder, const std::string &Temporary) {
  Record Log(Folder + "/record.txt");
  FILE *GatewayLog = fopen((Temporary + "/log").c_str(), "w");
  Store Platform(loopbackIp(1));
  Runs Seen;
  auto Write = [&](int Version, int TenantCount) {
    Platform.put("op/config", stateWith(Version, TenantCount).dump());
    Log.line("acknowledged: version " + std::to_string(Version) + " with " +
             std::to_string(TenantCount) + " tenants");
  };
  Write(7, Tenants);
  Server First(Platform, Log, Seen, loopbackIp(2), "ledger", "i-1", 15);
  Server Second(Platform, Log, Seen, loopbackIp(3), "ledger", "i-2", 15);
  Gateway Node(Temporary, "edge-1", loopbackIp(10), Platform.address());
  Node.start(fileno(GatewayLog));
  if (!Node.awaitReady(20000))
    return CannotRun;
  sleepMs(4000); // Longer than stable_ms.

  std::string Proper = send(Log, Node, "key-of-tenant-1");
  std::string Unknown = send(Log, Node, "key-that-never-was");
  if (Seen.count(Proper) != 1 || Seen.count(Unknown) != 0)
    return CannotRun;
  // As often as it takes, within the count and the gap of one revocation.
  int Version = 12;
  for (int Left = Tenants; hasTrouble() && Left > 0; Version += 3) {
    Left = std::max(0, Left - MaxTakenAway);
    Write(Version, Left);
    sleepMs(GapMs);
  }
  sleepMs(ApplyMs + 1000);
  std::vector<std::string> NeverHeld;
  std::vector<std::string> WithoutKey;
  std::vector<std::string> Dropped;
  for (int Count = 0; Count < Repetitions; ++Count) {
    NeverHeld.push_back(send(Log, Node, "key-that-never-was"));
    WithoutKey.push_back(send(Log, Node, ""));
    if (hasTrouble())
      Dropped.push_back(send(Log, Node, "key-of-tenant-1"));
  }
  int RunNeverHeld = 0;
  int RunWithout = 0;
  int RunDropped = 0;
  for (const std::string &Id : NeverHeld)
    RunNeverHeld += Seen.count(Id);
  for (const std::string &Id : WithoutKey)
    RunWithout += Seen.count(Id);
  for (const std::string &Id : Dropped)
    RunDropped += Seen.count(Id);
  for (const Run &Entry : Seen.all())
    Log.line(Entry.m_Id + " reached the server with the tenant \"" +
             Entry.m_Request.field("Tenant") + "\"");
  Log.line("run with a key that no desired state ever held: " +
           std::to_string(RunNeverHeld) + "; also run, but not judged: " +
           std::to_string(RunWithout) + " without a key, " +
           std::to_string(RunDropped) + " with a dropped one");
  Node.end();
  endCase(RunNeverHeld > 0 ? Broken : Held);
}

int main(int Count, char **Arguments) {
  if (Count != 3)
    return CannotRun;
  runCase([&] { return run(Arguments[1], Arguments[2]); });
}
