#include "console/ConsoleCounters.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace parsleyring {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

static ClientMetric counter(std::uint64_t Value) {
  ClientMetric Metric;
  Metric.counter.value = static_cast<double>(Value);
  return Metric;
}

std::string ConsoleCounters::metricsText() const {
  std::vector<MetricFamily> Families{
      {"parsleyring_console_requests_total",
       "requests of browsers",
       MetricType::Counter,
       {counter(m_Requests)}},
      {"parsleyring_console_refused_requests_total",
       "malformed or forged requests",
       MetricType::Counter,
       {counter(m_RefusedRequests)}},
      {"parsleyring_console_sign_ins_total",
       "sessions begun",
       MetricType::Counter,
       {counter(m_SignIns)}},
      {"parsleyring_console_failed_sign_ins_total",
       "sign-ins refused",
       MetricType::Counter,
       {counter(m_FailedSignIns)}},
      {"parsleyring_console_platform_errors_total",
       "pages that the platform kept from being shown",
       MetricType::Counter,
       {counter(m_PlatformErrors)}}};
  MetricFamily Publications{"parsleyring_console_publications_total",
                            "publications by status",
                            MetricType::Counter,
                            {}};
  for (std::size_t Status = 0; Status < Statuses; ++Status) {
    ClientMetric Metric = counter(m_Publications[Status]);
    std::string Name(name(static_cast<PublicationStatus>(Status)));
    Metric.label = {{"status", Name}};
    Publications.metric.push_back(std::move(Metric));
  }
  Families.push_back(std::move(Publications));
  ClientMetric Version;
  Version.gauge.value = static_cast<double>(m_Version);
  Families.push_back({"parsleyring_console_configuration_version",
                      "version last read from the platform",
                      MetricType::Gauge,
                      {Version}});
  ClientMetric Build;
  Build.gauge.value = 1;
  Build.label = {{"version", PARSLEYRING_VERSION}};
  Families.push_back(
      {"parsleyring_build_info", "", MetricType::Gauge, {Build}});
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace parsleyring
