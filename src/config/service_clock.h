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
///
/// The clock is steady only while one run of the service answers. Where another one does, or the
/// node's own clock stood still, it may have leapt ahead, and answers seem to be made later than
/// they were. What can be told of that is told: an answer from the future ends the bound. For the
/// rest, no answer counts as made later than the service may hold its call.
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
  /// An answer that names `serviceTime` came at `now` to a call sent at `sentAt`, which the service
  /// was told to hold for `hold` at most. Gives a moment on this node's clock, from `sentAt` to
  /// `sentAt + hold`, at which or after which the answer was made, unless the service's clock has
  /// leapt unnoticed.
  base::TimePoint madeAt(base::Duration serviceTime, base::TimePoint sentAt, base::Duration hold,
                         base::TimePoint now);

 private:
  /// Two windows of 60 s in which the clocks' rates differ by 150 parts in a million, and the
  /// millisecond in which the service tells its time.
  static constexpr base::Duration kTolerance = std::chrono::milliseconds(20);

  /// Least lead of the service's clock that was seen; empty before the first answer.
  std::optional<base::Duration> leastLead() const;
  void forget();

  base::Duration window_;
  /// Greatest possible lead of the service's clock, from this window and from the one before.
  std::optional<base::Duration> current_;
  std::optional<base::Duration> previous_;
  base::TimePoint windowBegan_{};
};

}  // namespace covewing::config
