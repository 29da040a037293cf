#include "gateway/NodeMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace parsleyring {

using namespace prometheus;

static const Histogram::BucketBoundaries SecondsBuckets{
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20};

static Family<Counter> &counters(Registry &Target, const char *Name,
                                 const char *Help) {
  return BuildCounter().Name(Name).Help(Help).Register(Target);
}

static Gauge &gauge(Registry &Target, const char *Name, const char *Help) {
  return BuildGauge().Name(Name).Help(Help).Register(Target).Add({});
}

static Family<Histogram> &histograms(Registry &Target, const char *Name,
                                     const char *Help) {
  return BuildHistogram().Name(Name).Help(Help).Register(Target);
}

struct NodeMetrics::Families {
  Registry m_Registry;
  Family<Counter> &m_Requests =
      counters(m_Registry, "parsleyring_requests_total",
               "Requests ended, by outcome and reason.");
  Family<Counter> &m_Attempts =
      counters(m_Registry, "parsleyring_attempts_total",
               "Exchanges with endpoints, by result.");
  Family<Counter> &m_Retries =
      counters(m_Registry, "parsleyring_retries_total",
               "Requests sent to a further endpoint, by reason.");
  Family<Counter> &m_StoreCalls = counters(
      m_Registry, "parsleyring_store_calls_total", "Calls, by status.");
  Family<Counter> &m_Orders = counters(m_Registry, "parsleyring_orders_total",
                                       "Orders to endpoints, by kind.");
  Family<Counter> &m_StatedLeaving = counters(
      m_Registry, "parsleyring_endpoints_stated_leaving_total",
      "Endpoints known to be leaving from what they state, by source.");
  Counter &m_EndpointCrashes =
      counters(m_Registry, "parsleyring_endpoint_crashes_total",
               "Crashes of engines that cut off requests of this VM.")
          .Add({});
  Family<Counter> &m_FailedHandlers =
      counters(m_Registry, "parsleyring_handler_failures_total",
               "Exceptions that left the handler of an event, by handler.");
  Counter &m_InvalidReports =
      counters(m_Registry, "parsleyring_invalid_engine_reports_total",
               "Reports of engines of which a part could not be read.")
          .Add({});
  Counter &m_EndpointRests =
      counters(m_Registry, "parsleyring_endpoint_rests_total",
               "Times that an endpoint asked this VM for no requests.")
          .Add({});
  Counter &m_LinkCrossings =
      counters(m_Registry, "parsleyring_link_crossings_total",
               "Crossings of links between failure domains by requests.")
          .Add({});
  Counter &m_DroppedLines =
      counters(m_Registry, "parsleyring_log_lines_dropped_total",
               "Log lines left out.")
          .Add({});
  Histogram &m_RequestSeconds =
      histograms(m_Registry, "parsleyring_request_seconds",
                 "Time from a request to the end of its answer.")
          .Add({}, SecondsBuckets);
  Histogram &m_FirstEventSeconds =
      histograms(m_Registry, "parsleyring_first_event_seconds",
                 "Time from a request to the first event of its stream.")
          .Add({}, SecondsBuckets);
  Gauge &m_Version = gauge(m_Registry, "parsleyring_configuration_version",
                           "Version of the configuration in force.");
  Gauge &m_RequiresKey =
      gauge(m_Registry, "parsleyring_configuration_requires_key",
            "1 if requests need a key, except on anonymous routes.");
  Gauge &m_Accounts = gauge(m_Registry, "parsleyring_configuration_accounts",
                            "Client accounts of the configuration in force.");
  Gauge &m_Keys = gauge(m_Registry, "parsleyring_configuration_keys",
                        "Valid keys of the configuration in force.");
  Gauge &m_ConfirmationAge =
      gauge(m_Registry, "parsleyring_configuration_confirmation_age_seconds",
            "Time since the configuration was known to be the newest one.");
  Gauge &m_QuarantinedSuspects =
      gauge(m_Registry, "parsleyring_quarantined_suspects",
            "Parts of prompts that are not sent since they crash engines.");
  Gauge &m_LimitedEndpoints =
      gauge(m_Registry, "parsleyring_limited_endpoints",
            "Endpoints that state how many requests per second they accept.");
  Gauge &m_RestingEndpoints =
      gauge(m_Registry, "parsleyring_resting_endpoints",
            "Endpoints that have asked this VM for no requests for a time.");
  Gauge &m_LeavingEndpoints =
      gauge(m_Registry, "parsleyring_leaving_endpoints",
            "Listed endpoints that get no new requests since they leave.");
  Gauge &m_WatchedEngines =
      gauge(m_Registry, "parsleyring_watched_engines",
            "Engines to which this VM keeps an idle connection open.");
  Gauge &m_Running = gauge(m_Registry, "parsleyring_requests_running",
                           "Requests in progress.");
  Family<Gauge> &m_Memory =
      BuildGauge()
          .Name("parsleyring_reserved_memory_bytes")
          .Help("Memory that connections, requests and answers hold, by use.")
          .Register(m_Registry);
  Gauge &m_MemoryLimit =
      gauge(m_Registry, "parsleyring_reserved_memory_limit_bytes",
            "Memory that connections, requests and answers may hold.");
  Family<Counter> &m_OverloadRefusals =
      counters(m_Registry, "parsleyring_receipt_refusals_total",
               "Requests refused before they were received, by cause.");
  Family<Counter> &m_ClosedConnections =
      counters(m_Registry, "parsleyring_caller_connections_closed_total",
               "Connections closed at a limit or a timeout, by cause.");
  Gauge &m_Connections = gauge(m_Registry, "parsleyring_caller_connections",
                               "Open connections of callers.");
};

static double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

NodeMetrics::NodeMetrics() : m_Families(std::make_unique<Families>()) {}
NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countRequest(std::string_view Outcome,
                               std::string_view Reason, Duration Taken) {
  m_Families->m_Requests
      .Add({{"outcome", std::string(Outcome)}, {"reason", std::string(Reason)}})
      .Increment();
  m_Families->m_RequestSeconds.Observe(seconds(Taken));
}

void NodeMetrics::countAttempt(std::string_view Result) {
  m_Families->m_Attempts.Add({{"result", std::string(Result)}}).Increment();
}

void NodeMetrics::countRetry(std::string_view Reason) {
  m_Families->m_Retries.Add({{"reason", std::string(Reason)}}).Increment();
}

void NodeMetrics::countStoreCall(unsigned Status) {
  m_Families->m_StoreCalls.Add({{"status", std::to_string(Status)}})
      .Increment();
}

void NodeMetrics::countOrder(std::string_view Kind) {
  m_Families->m_Orders.Add({{"kind", std::string(Kind)}}).Increment();
}

void NodeMetrics::countLinkCrossing() {
  m_Families->m_LinkCrossings.Increment();
}

void NodeMetrics::observeFirstEvent(Duration Taken) {
  m_Families->m_FirstEventSeconds.Observe(seconds(Taken));
}

void NodeMetrics::setConfigurationVersion(ConfigurationVersion Version) {
  m_Families->m_Version.Set(static_cast<double>(Version));
}

void NodeMetrics::setConfigurationAccounts(std::optional<std::size_t> Accounts,
                                           std::size_t Keys) {
  m_Families->m_RequiresKey.Set(Accounts ? 1 : 0);
  m_Families->m_Accounts.Set(static_cast<double>(Accounts.value_or(0)));
  m_Families->m_Keys.Set(static_cast<double>(Keys));
}

void NodeMetrics::setConfirmationAge(Duration Age) {
  m_Families->m_ConfirmationAge.Set(seconds(Age));
}

void NodeMetrics::countEndpointCrash() {
  m_Families->m_EndpointCrashes.Increment();
}

void NodeMetrics::setQuarantinedSuspects(std::size_t Parts) {
  m_Families->m_QuarantinedSuspects.Set(static_cast<double>(Parts));
}

void NodeMetrics::setLimitedEndpoints(std::size_t Endpoints) {
  m_Families->m_LimitedEndpoints.Set(static_cast<double>(Endpoints));
}

void NodeMetrics::countFailedHandler(std::string_view Handler) {
  m_Families->m_FailedHandlers.Add({{"handler", std::string(Handler)}})
      .Increment();
}

void NodeMetrics::countInvalidReport() {
  m_Families->m_InvalidReports.Increment();
}

void NodeMetrics::countEndpointRest() {
  m_Families->m_EndpointRests.Increment();
}

void NodeMetrics::setRestingEndpoints(std::size_t Endpoints) {
  m_Families->m_RestingEndpoints.Set(static_cast<double>(Endpoints));
}

void NodeMetrics::countLeaving(std::string_view Source) {
  m_Families->m_StatedLeaving.Add({{"source", std::string(Source)}})
      .Increment();
}

void NodeMetrics::setLeavingEndpoints(std::size_t Endpoints) {
  m_Families->m_LeavingEndpoints.Set(static_cast<double>(Endpoints));
}

void NodeMetrics::setWatchedEngines(std::size_t Engines) {
  m_Families->m_WatchedEngines.Set(static_cast<double>(Engines));
}

void NodeMetrics::setRunning(std::size_t Requests, std::size_t Connections) {
  m_Families->m_Running.Set(static_cast<double>(Requests));
  m_Families->m_Connections.Set(static_cast<double>(Connections));
}

void NodeMetrics::countDroppedLogLines(std::uint64_t Lines) {
  m_Families->m_DroppedLines.Increment(static_cast<double>(Lines));
}

void NodeMetrics::setMemory(MemoryUse Use, std::size_t Bytes) {
  m_Families->m_Memory.Add({{"use", std::string(name(Use))}})
      .Set(static_cast<double>(Bytes));
}

void NodeMetrics::setMemoryLimit(std::size_t Bytes) {
  m_Families->m_MemoryLimit.Set(static_cast<double>(Bytes));
}

void NodeMetrics::countOverloadRefusal(std::string_view Cause) {
  m_Families->m_OverloadRefusals.Add({{"cause", std::string(Cause)}})
      .Increment();
}

void NodeMetrics::countClosedConnection(std::string_view Cause) {
  m_Families->m_ClosedConnections.Add({{"cause", std::string(Cause)}})
      .Increment();
}

std::string NodeMetrics::text() const {
  return TextSerializer().Serialize(m_Families->m_Registry.Collect());
}

} // namespace parsleyring
