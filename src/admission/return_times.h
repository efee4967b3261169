/// \file
/// When refused requests may come back: one after the other at the rate at which room falls free
/// for their urgency, so that they do not come back together.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "admission/arrival_rates.h"
#include "base/time.h"

namespace covewing::admission {

class ReturnTimes {
 public:
  /// The longest time named: callers wait some seconds, and a shortage is looked at anew by then.
  static constexpr base::Duration kLongest = std::chrono::seconds(10);

  /// When a request may come back at the earliest and at the latest, and how long the room takes to
  /// fall free for it.
  struct Window {
    base::Duration earliest{};
    base::Duration latest{};
    base::Duration interval{};
  };

  /// The time after which the refused request may come back: `interval` after the one before it,
  /// moved within the interval by a hash of the id. Nothing where that is past the latest.
  std::optional<base::Duration> next(std::uint32_t urgency, std::uint64_t id, const Window& window,
                                     base::TimePoint now);
  /// A time in the later half of the longest, by a hash of the id.
  static base::Duration beyond(std::uint64_t id);

 private:
  std::array<base::TimePoint, ArrivalRates::kUrgencies> next_{};
};

}  // namespace covewing::admission
