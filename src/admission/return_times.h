/// \file
/// When refused requests may come back: one after the other at the rate at which room falls free
/// for their urgency, so that they do not come back together.
#pragma once

#include <array>
#include <cstdint>

#include "admission/arrival_rates.h"
#include "base/time.h"

namespace covewing::admission {

class ReturnTimes {
 public:
  /// The longest time named: callers wait some seconds, and a shortage is looked at anew by then.
  static constexpr base::Duration kLongest = std::chrono::seconds(10);

  /// The time after which the refused request may come back: not before `earliest`, and `interval`
  /// after the one refused before it, moved within the interval by a hash of the id.
  base::Duration next(std::uint32_t urgency, std::uint64_t id, base::Duration earliest,
                      base::Duration interval, base::TimePoint now);

 private:
  std::array<base::TimePoint, ArrivalRates::kUrgencies> next_{};
};

}  // namespace covewing::admission
