/// \file
/// A bound on the retries that all nodes together send to a service within a sliding window: a
/// share of the requests plus some slack. Each node keeps to the share of its own requests and to
/// an equal part of the slack, so that the sum keeps to the bound without any messages.
///
/// A node that has just started has seen no requests and so has the slack's part only.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace covewing::admission {

struct RetryWindowOptions {
  base::Duration window = std::chrono::seconds(10);
  /// Retries allowed for each request of the window.
  double ratio = 0.2;
  /// Retries of all nodes together allowed besides.
  double slack = 0;
  /// Part of the allowance that is used, so that late arrivals do not break the bound.
  double safety = 0.85;
};

/// The retries to one service.
class RetryWindow {
 public:
  void onRequest(base::TimePoint now);
  /// Takes one retry; false when the window's allowance is used up.
  bool take(const RetryWindowOptions& options, std::size_t nodes, base::TimePoint now);

 private:
  /// Counts of one short span of the window.
  struct Slot {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Slot& slotAt(base::TimePoint now);

  std::deque<Slot> slots_;
};

/// The retry windows of all services.
class RetryWindows {
 public:
  explicit RetryWindows(RetryWindowOptions options) : options_(options) {}

  void onRequest(const std::string& service, base::TimePoint now);
  bool take(const std::string& service, std::size_t nodes, base::TimePoint now);

 private:
  RetryWindowOptions options_;
  std::map<std::string, RetryWindow, std::less<>> windows_;
};

}  // namespace covewing::admission
