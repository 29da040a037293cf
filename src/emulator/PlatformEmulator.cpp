#include "emulator/PlatformEmulator.h"

#include "core/Base64.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace parsleyring {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static constexpr std::size_t MaxValueBytes = 1000000;
static constexpr std::chrono::milliseconds MaxWatchDuration{60000};
static constexpr std::chrono::milliseconds DefaultTimeToLive{15000};
// Watches look for changes, and so for expired sessions, this often.
static constexpr std::chrono::milliseconds CheckInterval{50};
static const std::string KeyPathPrefix = "/v1/kv/";
static const std::string SessionPathPrefix = "/v1/session/";

/// Reads "500ms", "5s" or "1m".
static std::chrono::milliseconds
parseDuration(const std::string &Text, std::chrono::milliseconds Fallback) {
  std::size_t Used = 0;
  double Number = 0;
  try {
    Number = std::stod(Text, &Used);
  } catch (const std::exception &) {
    return Fallback;
  }
  std::string Unit = Text.substr(Used);
  double Millis = Unit == "ms" ? 1 : Unit == "m" ? 60000 : 1000;
  return std::chrono::milliseconds(static_cast<long>(Number * Millis));
}

static Json toJson(const KeyValueStore::Entry &Entry) {
  Json Out = {{"Key", Entry.m_Key},
              {"Value", encodeBase64(Entry.m_Value)},
              {"Flags", 0},
              {"LockIndex", Entry.m_LockIndex},
              {"CreateIndex", Entry.m_CreateIndex},
              {"ModifyIndex", Entry.m_ModifyIndex}};
  if (!Entry.m_Session.empty())
    Out["Session"] = Entry.m_Session;
  return Out;
}

bool PlatformEmulator::RateLimiter::tryAcquire(KeyValueStore::Time Now) {
  std::chrono::duration<double> Passed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_Available =
      std::min(m_PerSecond, m_Available + Passed.count() * m_PerSecond);
  if (m_Available < 1)
    return false;
  m_Available -= 1;
  return true;
}

PlatformEmulator::PlatformEmulator(const PlatformOptions &Options)
    : m_Options(Options), m_WriteLimiter{double(Options.m_WritesPerSecond),
                                         double(Options.m_WritesPerSecond),
                                         Clock::now()},
      m_ReadLimiter{double(Options.m_ReadsPerSecond),
                    double(Options.m_ReadsPerSecond), Clock::now()},
      m_Server([this](const EmulatorCall &Call, HttpReply &Reply) {
        respond(Call, Reply);
      }) {
  if (Options.m_SeedFile.empty())
    return;
  std::ifstream File(Options.m_SeedFile);
  const Json Seed = Json::parse(File);
  for (const auto &[Key, Value] : Seed.items())
    m_Store.write(
        Key, Value.is_string() ? Value.get<std::string>() : Value.dump(), {});
}

void PlatformEmulator::run() {
  m_Server.bind(m_Options.m_Listen);
  m_Server.run();
}

void PlatformEmulator::respond(const EmulatorCall &Call, HttpReply &Reply) try {
  if (Call.m_Path == "/admin/mode")
    return setMode(Call);
  if (Call.m_Path == "/admin/counts") {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Reply.m_Body = Json(m_Counts).dump();
    return;
  }
  std::uint32_t SlowMillis = 0;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    SlowMillis = m_SlowMillis;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(SlowMillis));
  if (Call.m_Path.compare(0, KeyPathPrefix.size(), KeyPathPrefix) == 0)
    return respondKeyValue(Call, Reply);
  if (Call.m_Path.compare(0, SessionPathPrefix.size(), SessionPathPrefix) == 0)
    return respondSession(Call, Reply);
  Reply.m_Status = 404;
} catch (const std::exception &Error) {
  Reply.m_Status = 400;
  Reply.m_Body = Error.what();
}

void PlatformEmulator::setMode(const EmulatorCall &Call) {
  Json Mode = Json::parse(Call.m_Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsOutage = Mode.value("outage", m_IsOutage);
  m_IsWatchFrozen = Mode.value("frozen_watch", m_IsWatchFrozen);
  m_SlowMillis = Mode.value("slow_ms", m_SlowMillis);
  m_LostAnswers = Mode.value("lost_answers", m_LostAnswers);
  m_StoreChanged.notify_all();
}

bool PlatformEmulator::admit(const EmulatorCall &Call, HttpReply &Reply) {
  if (m_IsOutage) {
    increment("closed");
    Reply.m_ClosesConnection = true;
    return false;
  }
  bool IsRead = Call.m_Method == "GET";
  std::string Kind =
      Call.m_Path.compare(0, KeyPathPrefix.size(), KeyPathPrefix) != 0
          ? "sessions"
      : Call.hasQuery("index")    ? "watches"
      : IsRead                    ? "reads"
      : Call.m_Method == "DELETE" ? "deletes"
                                  : "writes";
  increment(Kind);
  if ((IsRead ? m_ReadLimiter : m_WriteLimiter).tryAcquire(Clock::now()))
    return true;
  increment("rate_limited");
  Reply.m_Status = 429;
  Reply.m_Body = "rate limit exceeded";
  return false;
}

void PlatformEmulator::respondKeyValue(const EmulatorCall &Call,
                                       HttpReply &Reply) {
  std::string Key = Call.m_Path.substr(KeyPathPrefix.size());
  if (Call.m_Method == "GET")
    return respondRead(Call, Key, Reply);
  if (Call.m_Method == "PUT")
    return respondWrite(Call, Key, Reply);
  if (Call.m_Method != "DELETE") {
    Reply.m_Status = 405;
    return;
  }
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!admit(Call, Reply))
    return;
  std::optional<std::uint64_t> ExpectedIndex;
  if (Call.hasQuery("cas"))
    ExpectedIndex = std::stoull(Call.query("cas"));
  finishWrite(m_Store.remove(Key, Call.hasQuery("recurse"), ExpectedIndex),
              Reply);
}

void PlatformEmulator::respondRead(const EmulatorCall &Call,
                                   const std::string &Key, HttpReply &Reply) {
  bool IsPrefix = Call.hasQuery("recurse");
  std::uint64_t After = std::stoull(Call.query("index", "0"));
  auto End = Clock::now() +
             std::min(MaxWatchDuration,
                      parseDuration(Call.query("wait"), MaxWatchDuration));
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (!admit(Call, Reply))
    return;
  m_Store.expireSessions(Clock::now());
  bool IsFrozen = false;
  while (After > 0 && !m_IsOutage &&
         (IsFrozen || m_Store.index(Key, IsPrefix) <= After) &&
         Clock::now() < End) {
    m_StoreChanged.wait_for(Lock, CheckInterval);
    m_Store.expireSessions(Clock::now());
    // A frozen watch stays unanswered even after the fault has ended.
    if (m_IsWatchFrozen && !IsFrozen) {
      IsFrozen = true;
      End = Clock::now() + MaxWatchDuration;
    }
  }
  if (IsFrozen || m_IsOutage) {
    Reply.m_ClosesConnection = true;
    return;
  }
  Reply.m_Headers["X-Consul-Index"] =
      std::to_string(m_Store.index(Key, IsPrefix));
  Json Body = Json::array();
  for (const KeyValueStore::Entry &Entry : m_Store.read(Key, IsPrefix))
    Body.push_back(toJson(Entry));
  if (Body.empty())
    Reply.m_Status = 404;
  else
    Reply.m_Body = Body.dump();
}

void PlatformEmulator::respondWrite(const EmulatorCall &Call,
                                    const std::string &Key, HttpReply &Reply) {
  KeyValueStore::Condition Required;
  if (Call.hasQuery("cas"))
    Required.m_ExpectedIndex = std::stoull(Call.query("cas"));
  Required.m_AcquiringSession = Call.query("acquire");
  Required.m_ReleasingSession = Call.query("release");
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!admit(Call, Reply))
    return;
  if (Call.m_Body.size() > MaxValueBytes) {
    Reply.m_Status = 413;
    return;
  }
  m_Store.expireSessions(Clock::now());
  if (!Required.m_AcquiringSession.empty() &&
      !m_Store.hasSession(Required.m_AcquiringSession)) {
    Reply.m_Status = 500;
    Reply.m_Body = "invalid session";
    return;
  }
  finishWrite(m_Store.write(Key, Call.m_Body, Required), Reply);
}

void PlatformEmulator::finishWrite(bool IsDone, HttpReply &Reply) {
  m_StoreChanged.notify_all();
  Reply.m_Body = IsDone ? "true" : "false";
  if (!IsDone || m_LostAnswers == 0)
    return;
  --m_LostAnswers;
  increment("lost_answers");
  Reply.m_ClosesConnection = true;
}

void PlatformEmulator::respondSession(const EmulatorCall &Call,
                                      HttpReply &Reply) {
  std::string Rest = Call.m_Path.substr(SessionPathPrefix.size());
  std::string Id = Rest.substr(Rest.find('/') + 1);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!admit(Call, Reply))
    return;
  m_Store.expireSessions(Clock::now());
  if (Rest == "create") {
    Json Body = Call.m_Body.empty() ? Json::object() : Json::parse(Call.m_Body);
    Json Created = {
        {"ID", m_Store.createSession(
                   Clock::now(),
                   parseDuration(Body.value("TTL", ""), DefaultTimeToLive),
                   Body.value("Behavior", "release") == "delete")}};
    Reply.m_Body = Created.dump();
  } else if (Rest == "renew/" + Id && m_Store.renewSession(Clock::now(), Id)) {
    Reply.m_Body = Json::array({{{"ID", Id}}}).dump();
  } else if (Rest == "destroy/" + Id) {
    m_Store.endSession(Id);
    m_StoreChanged.notify_all();
    Reply.m_Body = "true";
  } else {
    Reply.m_Status = 404;
  }
}

} // namespace parsleyring
