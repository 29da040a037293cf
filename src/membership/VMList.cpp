#include "membership/VMList.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace parsleyring {

static constexpr const char *VMListKey = "platform/vms";
static constexpr Duration LongPollTimeout = std::chrono::seconds(5);
static constexpr std::chrono::milliseconds RetryDelay(500);

VMList VMList::fromText(const std::string &Text) {
  VMList Result;
  try {
    nlohmann::json Json = nlohmann::json::parse(Text);
    for (const nlohmann::json &Item : Json.at("vms")) {
      std::string Role = Item.at("role").get<std::string>();
      std::string State = Item.at("state").get<std::string>();
      if (Role != "entry") {
        if (State == "leaving")
          Result.m_Leaving.push_back(Item.at("endpoint").get<std::string>());
        continue;
      }
      PeerInfo Info;
      Info.m_Identity.m_VM = Item.at("id").get<std::string>();
      Info.m_Address = Item.at("peer_address").get<std::string>();
      Info.m_FailureDomain = Item.at("failure_domain").get<std::string>();
      Result.m_Routers.push_back(std::move(Info));
    }
  } catch (const nlohmann::json::exception &Error) {
    throw std::runtime_error(std::string("malformed VM list: ") + Error.what());
  }
  return Result;
}

VMListWatcher::VMListWatcher(PlatformClient &Platform,
                             std::function<void(const VMList &)> OnChange)
    : m_Platform(Platform), m_OnChange(std::move(OnChange)) {}

VMListWatcher::~VMListWatcher() { stop(); }

void VMListWatcher::start() {
  m_Thread = std::thread([this] { run(); });
}

void VMListWatcher::stop() {
  m_IsStopping = true;
  if (m_Thread.joinable())
    m_Thread.join();
}

void VMListWatcher::run() {
  std::uint64_t Index = 0;
  std::uint64_t LastModified = 0;
  while (!m_IsStopping) {
    try {
      // A short long-poll timeout bounds the time that stop() takes.
      PlatformClient::WatchResult Result =
          m_Platform.watch(VMListKey, Index, LongPollTimeout);
      Index = Result.m_Index;
      if (!Result.m_Value || Result.m_Value->m_ModifyIndex == LastModified)
        continue;
      LastModified = Result.m_Value->m_ModifyIndex;
      m_OnChange(VMList::fromText(Result.m_Value->m_Value));
    } catch (const PlatformError &) {
      std::this_thread::sleep_for(RetryDelay);
    } catch (const std::runtime_error &Error) {
      LOG(ERROR) << Error.what();
      std::this_thread::sleep_for(RetryDelay);
    }
  }
}

} // namespace parsleyring
