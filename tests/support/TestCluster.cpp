#include "support/TestCluster.h"

#include "configuration/ConfigurationPublisher.h"
#include "platform/HttpPlatformClient.h"
#include "support/Eventually.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace parsleyring {

using Json = nlohmann::json;

static constexpr std::uint32_t Layers = 24;
static constexpr std::uint32_t LayersPerStage = 8;
static constexpr std::chrono::seconds PlatformTimeout{5};
static const std::string AnyPort = "127.0.0.1:0";

struct TestCluster::RouterFiles {
  FreePort m_CallerPort;
  FreePort m_PeerPort;
  std::unique_ptr<TemporaryFile> m_Settings;
};

static std::string routerName(unsigned Index) {
  return "vm-" + std::to_string(Index);
}

static std::string domainOfRouter(unsigned Index) {
  return Index % 2 == 0 ? "fd-a" : "fd-b";
}

/// The letter after '-' names the domain: "engine-a0" and "service-a" are in
/// fd-a.
static std::string domainOfEndpoint(const std::string &Name) {
  return std::string("fd-") + Name[Name.find('-') + 1];
}

std::string TestCluster::failureDomainOf(const std::string &Name) {
  return Name.compare(0, 3, "vm-") == 0
             ? domainOfRouter(static_cast<unsigned>(std::stoul(Name.substr(3))))
             : domainOfEndpoint(Name);
}

static LayerRange layersOf(const std::string &Engine) {
  auto Stage = static_cast<std::uint32_t>(Engine.back() - '0');
  return {Stage * LayersPerStage, (Stage + 1) * LayersPerStage};
}

const std::vector<std::string> &TestCluster::engineNames() {
  static const std::vector<std::string> Names = {"engine-a0", "engine-a1",
                                                 "engine-a2", "engine-b0",
                                                 "engine-b1", "engine-b2"};
  return Names;
}

const std::vector<std::string> &TestCluster::serviceNames() {
  static const std::vector<std::string> Names = {"service-a", "service-b"};
  return Names;
}

std::vector<ClientAccount> clientAccounts() {
  static constexpr double Ample = 100000;
  return {{"large", {sha256Hex("key-large")}, 10, Ample, 10000},
          {"slow", {sha256Hex("key-slow")}, 1, 1, 100},
          {"narrow", {sha256Hex("key-narrow")}, 1, Ample, 1}};
}

TestCluster::TestCluster(const TestClusterOptions &Options)
    : m_Options(Options) {
  m_Addresses["platform"] = startEmulator("platform", {"platform"});
  for (const std::string &Name : engineNames())
    startEndpoint(Name, AnyPort);
  for (const std::string &Name : serviceNames())
    startEndpoint(Name, AnyPort);
  buildDocument();
  publish(m_Document);
  for (unsigned Index = 0; Index < Options.m_Routers; ++Index) {
    m_Routers.push_back(std::make_unique<RouterFiles>());
    m_Addresses[routerName(Index)] = m_Routers.back()->m_CallerPort.address();
  }
  if (Options.m_HasLinkProxies)
    startLinks();
  unsigned Started = std::min(Options.m_Routers, Options.m_StartedRouters);
  for (unsigned Index = 0; Index < Started; ++Index)
    startRouter(Index);
  for (unsigned Index = 0; Index < Started; ++Index)
    waitUntilReady(routerName(Index));
}

TestCluster::~TestCluster() = default;

std::string TestCluster::startEmulator(const std::string &Name,
                                       std::vector<std::string> Arguments,
                                       const std::string &Listen) {
  for (const std::string &Flag : m_Options.m_EmulatorFlags[Name])
    Arguments.push_back(Flag);
  Arguments.insert(Arguments.end(), {"--listen", Listen});
  auto &Process = m_Processes[Name];
  Process = std::make_unique<ProcessRunner>("parsleyring-emulator", Arguments);
  return Process->waitForLine("listening");
}

void TestCluster::startEndpoint(const std::string &Name,
                                const std::string &Listen) {
  std::vector<std::string> Arguments = {
      "service", "--endpoint", Name, "--delay-ms",
      std::to_string(m_Options.m_ServiceDelayMillis)};
  if (Name.compare(0, 6, "engine") == 0) {
    LayerRange Held = layersOf(Name);
    Arguments = {"engine",
                 "--endpoint",
                 Name,
                 "--first-layer",
                 std::to_string(Held.m_First),
                 "--end-layer",
                 std::to_string(Held.m_End),
                 "--token-micros",
                 std::to_string(m_Options.m_TokenMicros),
                 "--slots",
                 std::to_string(m_Options.m_Slots)};
  }
  m_Addresses[Name] = startEmulator(Name, Arguments, Listen);
}

void TestCluster::restartEndpoint(const std::string &Name) {
  process(Name).kill();
  m_EarlierOutput[Name] += process(Name).output();
  startEndpoint(Name, address(Name));
}

std::string TestCluster::outputOf(const std::string &Name) const {
  auto Earlier = m_EarlierOutput.find(Name);
  return (Earlier == m_EarlierOutput.end() ? std::string() : Earlier->second) +
         m_Processes.at(Name)->output();
}

void TestCluster::buildDocument() {
  auto Fill = [this](Pool &Target, const std::vector<std::string> &Names) {
    for (const std::string &Name : Names) {
      EndpointSpec Endpoint;
      Endpoint.m_Name = Name;
      Endpoint.m_Address = m_Options.m_HasLinkProxies
                               ? m_Links.add(Name, m_Addresses[Name])
                               : m_Addresses[Name];
      Endpoint.m_FailureDomain = domainOfEndpoint(Name);
      Endpoint.m_Accelerator = "emulated";
      Endpoint.m_Slots = m_Options.m_Slots;
      Endpoint.m_TokenMicros = m_Options.m_TokenMicros;
      if (Target.m_Kind == PoolKind::Engine)
        Endpoint.m_Layers = layersOf(Name);
      Target.m_Endpoints.push_back(Endpoint);
    }
  };
  Pool Engines;
  Engines.m_Name = "engines";
  Fill(Engines, engineNames());
  Pool Registry;
  Registry.m_Name = "registry";
  Registry.m_Kind = PoolKind::Service;
  Fill(Registry, serviceNames());
  m_Document.m_Accounts = clientAccounts();
  m_Document.m_Pipelines = {{"ledger", Layers, "engines", 512}};
  m_Document.m_Pools = {Engines, Registry};
  m_Document.m_Rules = {{"registry", "POST", "/fees", false}};
  m_Document.m_Links = {{"fd-a", "fd-b", 500}, {"fd-b", "fd-a", 500}};
  if (m_Options.m_AdjustDocument)
    m_Options.m_AdjustDocument(m_Document);
}

void TestCluster::publish(const Document &Next) {
  HttpPlatformClient Platform(address("platform"), PlatformTimeout);
  ConfigurationPublisher Publisher(
      Platform, [](Duration Pause) { std::this_thread::sleep_for(Pause); });
  Publication Wanted;
  Wanted.m_Document = Next;
  Wanted.m_BaseVersion = m_Version;
  Wanted.m_Author = "test";
  Wanted.m_Submission = "test-" + std::to_string(m_Version + 1);
  Time Now =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  PublicationResult Result = Publisher.publish(Now, Wanted);
  if (Result.m_Status != PublicationStatus::Published) {
    std::string Text(name(Result.m_Status));
    for (const Finding &Found : Result.m_Findings)
      Text += "\n" + toString(Found);
    throw std::runtime_error("the document was not published: " + Text);
  }
  m_Version = Result.m_Version;
  m_Document = Next;
}

void TestCluster::startLinks() {
  std::vector<std::string> Names = routerNames();
  for (const std::string &Router : Names)
    m_Links.add(Router + ">platform", address("platform"));
  auto ForEachPair = [&](auto Step) {
    for (std::size_t From = 0; From < Names.size(); ++From)
      for (std::size_t To = 0; To < Names.size(); ++To)
        if (From != To)
          Step(From, To);
  };
  ForEachPair([&](std::size_t From, std::size_t To) {
    m_Links.add(Names[From] + ">" + Names[To],
                m_Routers[To]->m_PeerPort.address());
  });
  // A router announces its listening address to its peers; the proxy replaces
  // the address, so that the peers connect through their own link.
  ForEachPair([&](std::size_t From, std::size_t To) {
    m_Links.replace(Names[From] + ">" + Names[To],
                    m_Routers[From]->m_PeerPort.address(),
                    m_Links.address(Names[To] + ">" + Names[From]));
  });
}

std::string TestCluster::addressFor(const std::string &Router,
                                    const std::string &Target) const {
  if (m_Options.m_HasLinkProxies)
    return m_Links.address(Router + ">" + Target);
  if (Target == "platform")
    return address("platform");
  return m_Routers[std::stoul(Target.substr(3))]->m_PeerPort.address();
}

std::string TestCluster::routerSettings(unsigned Index) const {
  std::string Text =
      "[vm]\nid = \"" + routerName(Index) + "\"\nfailure_domain = \"" +
      domainOfRouter(Index) + "\"\n[listen]\ncallers = \"" +
      m_Routers[Index]->m_CallerPort.address() + "\"\npeers = \"" +
      m_Routers[Index]->m_PeerPort.address() + "\"\n[platform]\naddress = \"" +
      addressFor(routerName(Index), "platform") + "\"\n";
  for (unsigned Peer = 0; Peer < m_Routers.size(); ++Peer)
    if (Peer != Index)
      Text += "[[peer]]\nid = \"" + routerName(Peer) + "\"\naddress = \"" +
              addressFor(routerName(Index), routerName(Peer)) +
              "\"\nfailure_domain = \"" + domainOfRouter(Peer) + "\"\n";
  Text += m_Options.m_RouterSettings;
  if (m_Options.m_AdjustRouterSettings)
    m_Options.m_AdjustRouterSettings(routerName(Index), Text);
  return Text;
}

void TestCluster::startRouter(unsigned Index) {
  RouterFiles &Started = *m_Routers.at(Index);
  if (m_Processes.count(routerName(Index)))
    m_EarlierOutput[routerName(Index)] += process(routerName(Index)).output();
  Started.m_Settings = std::make_unique<TemporaryFile>(routerSettings(Index));
  m_Processes[routerName(Index)] = std::make_unique<ProcessRunner>(
      "parsleyring-router",
      std::vector<std::string>{"--config", Started.m_Settings->path()});
}

void TestCluster::waitUntilReady(const std::string &Router) {
  ProcessRunner &Process = process(Router);
  bool IsReady = false;
  eventually([&] {
    IsReady = sendHttp(address(Router), {"GET", "/readyz"}).m_Status == 200;
    return IsReady || !Process.isRunning();
  });
  if (!IsReady)
    throw std::runtime_error(Router + " does not become ready:\n" +
                             Process.errors());
}

std::vector<std::string> TestCluster::routerNames() const {
  std::vector<std::string> Names;
  for (unsigned Index = 0; Index < m_Routers.size(); ++Index)
    Names.push_back(routerName(Index));
  return Names;
}

const std::string &TestCluster::address(const std::string &Name) const {
  return m_Addresses.at(Name);
}

ProcessRunner &TestCluster::process(const std::string &Name) {
  return *m_Processes.at(Name);
}

HttpAnswer TestCluster::send(const std::string &Name, HttpRequest Call) const {
  Call.m_Headers.emplace("Authorization", "Bearer key-large");
  return sendHttp(address(Name), Call);
}

HttpAnswer TestCluster::complete(const std::string &Router,
                                 const std::string &Prompt, unsigned MaxTokens,
                                 bool IsStreamed) const {
  Json Body = {{"model", "ledger"},
               {"prompt", Prompt},
               {"max_tokens", MaxTokens},
               {"stream", IsStreamed}};
  return send(Router, {"POST", "/v1/completions", Body.dump()});
}

void TestCluster::postAdmin(const std::string &Name, const std::string &Path,
                            const std::string &Body) const {
  if (sendHttp(address(Name), {"POST", Path, Body}).m_Status != 200)
    throw std::runtime_error(Name + " rejected POST " + Path);
}

Json TestCluster::counts(const std::string &Name) const {
  return Json::parse(sendHttp(address(Name), {"GET", "/admin/counts"}).m_Body);
}

std::uint64_t TestCluster::total(const std::vector<std::string> &Names,
                                 const std::string &Count) const {
  std::uint64_t Sum = 0;
  for (const std::string &Name : Names)
    Sum += counts(Name).at(Count).get<std::uint64_t>();
  return Sum;
}

std::uint64_t TestCluster::engineTotal(const std::string &Count) const {
  return total(engineNames(), Count);
}

std::uint64_t TestCluster::serviceTotal(const std::string &Count) const {
  return total(serviceNames(), Count);
}

double TestCluster::metric(const std::string &Router,
                           const std::string &Name) const {
  std::string Page =
      "\n" + sendHttp(address(Router), {"GET", "/metrics"}).m_Body;
  std::string Label = "\nparsleyring_" + Name + " ";
  std::size_t Found = Page.find(Label);
  return Found == std::string::npos
             ? -1
             : std::stod(Page.substr(Found + Label.size()));
}

std::vector<std::string> eventData(const std::string &Body) {
  static const std::string Prefix = "data: ";
  std::vector<std::string> Events;
  std::size_t Begin = 0;
  for (std::size_t End = Body.find("\n\n"); End != std::string::npos;
       End = Body.find("\n\n", Begin)) {
    std::string Line = Body.substr(Begin, End - Begin);
    if (Line.compare(0, Prefix.size(), Prefix) == 0)
      Events.push_back(Line.substr(Prefix.size()));
    Begin = End + 2;
  }
  return Events;
}

} // namespace parsleyring
