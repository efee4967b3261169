/// \file
/// What a node knows of the table service's steady clock, to tell when an answer was made: a call
/// that the service held proves more than one that it answered at once, but the time of its arrival
/// proves nothing, since the answer may have been under way for long.
///
/// An answer was made between the sending of its call and its arrival, and names the service's time
/// then. The call whose answer was made soonest after it was sent bounds how far the service's
/// clock is ahead; with that bound, the time that any other answer names gives a moment before
/// which it was not made. The bound is renewed, so that clocks whose rates differ slightly do no
/// harm.
#pragma once

#include <optional>

#include "base/time.h"

namespace covewing::config {

class ServiceClock {
 public:
  /// `window` is how long an observation bounds the clock, at least; it is kept up to twice as
  /// long.
  explicit ServiceClock(base::Duration window = std::chrono::seconds(60)) : window_(window) {}

  /// No answer was seen lately: the next call should be one that the service answers at once.
  bool needsQuickCall(base::TimePoint now) const {
    return !current_ || now - windowBegan_ > window_;
  }
  /// An answer that names `serviceTime` came at `now` to a call sent at `sentAt`. Gives a moment on
  /// this node's clock, from `sentAt` to `now`, at which or after which the answer was made.
  base::TimePoint madeAt(base::Duration serviceTime, base::TimePoint sentAt, base::TimePoint now);

 private:
  base::Duration window_;
  /// Greatest possible lead of the service's clock, from this window and from the one before.
  std::optional<base::Duration> current_;
  std::optional<base::Duration> previous_;
  base::TimePoint windowBegan_{};
};

}  // namespace covewing::config
