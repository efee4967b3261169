/// \file
/// Keeps the refusals of one replica within the number per second that it withstands.
///
/// Some replicas fail if they have to refuse more than a few requests per second for lack of
/// capacity, and let fewer requests wait than usual. The home of such a replica therefore lets no
/// more requests run there than the replica runs concurrently, and after a refusal no more than
/// were accepted at that time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace covewing::routing {

struct RefusalLimiterOptions {
  base::Duration window = std::chrono::seconds(1);
  /// Share of the limit after which nothing is granted until refusals leave the window: requests
  /// that are under way may be refused as well.
  double stopAtShare = 0.5;
  /// After this time without a refusal, one request more may run at the replica.
  base::Duration regainInterval = std::chrono::seconds(3);
};

class RefusalLimiter {
 public:
  explicit RefusalLimiter(RefusalLimiterOptions options = {}) : options_(options) {}

  /// Sets the number of refusals per second that the replica withstands; empty: any number.
  void setLimit(std::optional<double> perSecond);
  bool limited() const { return perSecond_.has_value(); }
  /// The replica refused a request for lack of capacity while `running` others of all nodes were
  /// there.
  void onRefused(std::size_t running, base::TimePoint now);
  /// Whether another request may be sent while `running` are at a replica that runs `slots`
  /// concurrently; 0 slots: unknown.
  bool allows(std::size_t running, std::uint32_t slots, base::TimePoint now);

 private:
  void dropOld(base::TimePoint now);

  RefusalLimiterOptions options_;
  std::optional<double> perSecond_;
  std::deque<base::TimePoint> refusals_;
  /// Number of requests that the replica accepted when it last refused one, and when that was.
  std::optional<std::size_t> accepted_;
  base::TimePoint refusedAt_{};
};

}  // namespace covewing::routing
