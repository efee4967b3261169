/// \file
/// Row of a documented table of metrics.
#pragma once

#include <string_view>

namespace covewing::live {

struct MetricEntry {
  std::string_view name;
  /// "counter", "gauge" or "histogram".
  std::string_view type;
  /// Names of the labels, separated by commas; empty if the metric has no labels.
  std::string_view labels;
  std::string_view meaning;
};

}  // namespace covewing::live
