#include "metrics/MetricsPage.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace parsleyring {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

static constexpr const char *Prefix = "parsleyring_";

namespace {
/// Metric families in the order in which they were added.
class MetricFamilies {
public:
  void add(const std::string &Name, MetricType Type, double Value,
           std::vector<ClientMetric::Label> Labels = {}) {
    std::string FullName = Prefix + Name;
    if (Type == MetricType::Counter)
      FullName += "_total";
    if (m_Families.empty() || m_Families.back().name != FullName)
      m_Families.push_back({FullName, Name, Type, {}});
    ClientMetric Metric;
    Metric.label = std::move(Labels);
    if (Type == MetricType::Counter)
      Metric.counter.value = Value;
    else
      Metric.gauge.value = Value;
    m_Families.back().metric.push_back(std::move(Metric));
  }

  std::string text() const {
    return prometheus::TextSerializer().Serialize(m_Families);
  }

private:
  std::vector<MetricFamily> m_Families;
};
} // namespace

std::string metricsText(const RouterMetrics &Values) {
  MetricFamilies Page;
  for (const auto *Totals : {&Values.m_Router.m_Totals, &Values.m_Totals})
    for (const auto &[Name, Value] : *Totals)
      Page.add(Name, MetricType::Counter, static_cast<double>(Value));
  Page.add("requests_in_progress", MetricType::Gauge,
           static_cast<double>(Values.m_Router.m_RequestsInProgress));
  Page.add("requests_queued", MetricType::Gauge,
           static_cast<double>(Values.m_Router.m_RequestsQueued));
  for (const auto &[Account, Value] : Values.m_Router.m_Outstanding)
    Page.add("account_outstanding", MetricType::Gauge, Value,
             {{"account", Account}});
  Page.add("configuration_version", MetricType::Gauge,
           static_cast<double>(Values.m_ConfigurationVersion));
  for (const auto &[Name, Value] : Values.m_Gauges)
    Page.add(Name, MetricType::Gauge, Value);
  Page.add("build_info", MetricType::Gauge, 1,
           {{"version", PARSLEYRING_VERSION}});
  return Page.text();
}

} // namespace parsleyring
