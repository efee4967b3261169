#include "live/metric_families.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace covewing::live {

prometheus::Family<prometheus::Counter>& MetricFamilies::counters(const char* name) {
  return prometheus::BuildCounter().Name(name).Help(helpTextOf(name)).Register(registry_);
}

prometheus::Family<prometheus::Gauge>& MetricFamilies::gauges(const char* name) {
  return prometheus::BuildGauge().Name(name).Help(helpTextOf(name)).Register(registry_);
}

prometheus::Family<prometheus::Histogram>& MetricFamilies::histograms(const char* name) {
  return prometheus::BuildHistogram().Name(name).Help(helpTextOf(name)).Register(registry_);
}

std::string MetricFamilies::render() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

std::string MetricFamilies::helpTextOf(std::string_view name) const {
  const auto found = std::ranges::find(table_, name, &MetricEntry::name);
  return found == table_.end() ? std::string{} : std::string{found->meaning};
}

}  // namespace covewing::live
