/// \file
/// Exact quantiles of measured values, computed from the sorted sample.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace covewing::bench {

class Quantiles {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  std::size_t count() const { return values_.size(); }
  /// Nearest-rank quantile for `share` in [0, 1]; 0 for an empty sample.
  double at(double share) {
    if (values_.empty()) return 0;
    if (!sorted_) std::sort(values_.begin(), values_.end());
    sorted_ = true;
    const double rank = std::ceil(share * static_cast<double>(values_.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return values_[std::min(index, values_.size() - 1)];
  }
  /// Mean of the sample; 0 if it is empty.
  double mean() const {
    double sum = 0;
    for (const double value : values_) sum += value;
    return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
  }

 private:
  std::vector<double> values_;
  bool sorted_ = true;
};

}  // namespace covewing::bench
