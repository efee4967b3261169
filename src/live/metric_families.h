/// \file
/// Registers the metric families of one documented table and renders them as text.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <span>
#include <string>

#include "live/metric_entry.h"

namespace covewing::live {

class MetricFamilies {
 public:
  /// The help text of a family is its `meaning` in `table`, which must outlive this object.
  explicit MetricFamilies(std::span<const MetricEntry> table) : table_(table) {}

  prometheus::Family<prometheus::Counter>& counters(const char* name);
  prometheus::Family<prometheus::Gauge>& gauges(const char* name);
  prometheus::Family<prometheus::Histogram>& histograms(const char* name);
  /// Returns all metrics in the text exposition format.
  std::string render() const;

 private:
  std::string helpTextOf(std::string_view name) const;

  std::span<const MetricEntry> table_;
  prometheus::Registry registry_;
};

}  // namespace covewing::live
