/// \file
/// Limits the retries that all nodes together send to a service within a sliding window: a share of
/// the requests plus some slack. Each node keeps to the share of its own requests and to an equal
/// part of the slack, so that the sum keeps to the bound without any messages.
///
/// A retry is reserved when it is decided on and counts when it is sent, which may be seconds
/// later: a request that waits for a replica reaches the service in the window of its dispatch.
///
/// A newly started node has no part of the slack until it has run for a whole window, because its
/// previous incarnation may have used that part.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace covewing::admission {

struct RetryWindowOptions {
  base::Duration window = std::chrono::seconds(10);
  /// Retries allowed per request of the window.
  double ratio = 0.2;
  /// Additional retries allowed, for all nodes together.
  double slack = 0;
  /// Fraction of the allowance that is used, so that late arrivals do not break the bound.
  double safety = 0.85;
};

/// Returns the number of nodes that share the slack.
using RetryNodeCount = std::function<std::size_t()>;

/// Usage of a node's allowance for the window that ends now.
struct RetryUse {
  std::uint32_t sent = 0;
  std::uint32_t reserved = 0;
  double allowed = 0;
};

/// The retries to one service.
class RetryWindow {
 public:
  /// Number of a short time slot.
  using SlotNumber = std::int64_t;

  RetryWindow(const RetryWindowOptions& options, base::TimePoint nodeStartedAt,
              RetryNodeCount nodes)
      : options_(options),
        slackAvailableFrom_(nodeStartedAt + options.window),
        nodes_(std::move(nodes)) {}

  void onRequest(base::TimePoint now) { ++slotAt(now).requests; }
  /// Reserves one retry; false if the allowance is used up.
  bool reserve(base::TimePoint now);
  /// Returns the reservation of a retry that is not sent.
  void release() { --reserved_; }
  /// Counts a reserved retry as sent now. Returns nothing and keeps the reservation if the requests
  /// that allowed the retry have left the window in the meantime.
  std::optional<SlotNumber> send(base::TimePoint now);
  /// A retry that was counted in the slot was not delivered to a replica: it becomes reserved
  /// again.
  void undoSend(SlotNumber slot);
  RetryUse use(base::TimePoint now) const;

 private:
  /// Counts of one time slot.
  struct Slot {
    SlotNumber number = 0;
    std::uint32_t requests = 0;
    std::uint32_t sent = 0;
  };

  Slot& slotAt(base::TimePoint now);
  void dropBefore(SlotNumber oldest);
  /// Whether this many additional retries keep to the bound in each window that ends now or later.
  bool withinBound(std::uint32_t more, base::TimePoint now) const;
  double allowance(double requests, base::TimePoint now) const;
  /// Requests that count for the window beginning with the slot: the mean of its own requests,
  /// those of the window before it, and those of the window that begins half a window earlier.
  double requestsFor(SlotNumber begin) const;
  /// Number of requests in the slots from `begin` up to, but not including, `end`.
  std::uint32_t requestsWithin(SlotNumber begin, SlotNumber end) const;
  SlotNumber slotsOfWindow() const;

  RetryWindowOptions options_;
  base::TimePoint slackAvailableFrom_;
  RetryNodeCount nodes_;
  std::deque<Slot> slots_;
  std::uint32_t reserved_ = 0;
};

/// One retry from its reservation until it is sent, or returned by the destructor. The window must
/// outlive it.
class RetryReservation {
 public:
  explicit RetryReservation(RetryWindow& window) : window_(&window) {}
  ~RetryReservation();
  RetryReservation(RetryReservation&& other) noexcept;
  RetryReservation& operator=(RetryReservation&& other) noexcept;
  RetryReservation(const RetryReservation&) = delete;
  RetryReservation& operator=(const RetryReservation&) = delete;

  /// False if the retry no longer keeps to the bound and must not be sent.
  bool send(base::TimePoint now);
  /// The last retry sent was not delivered to a replica: the next one replaces it.
  void onNotDelivered();

 private:
  /// Null after a move.
  RetryWindow* window_;
  /// Slot that the retry is counted in; empty while it is reserved.
  std::optional<RetryWindow::SlotNumber> sentSlot_;
};

/// The retry windows of all services.
class RetryWindows {
 public:
  RetryWindows(RetryWindowOptions options, base::TimePoint nodeStartedAt, RetryNodeCount nodes)
      : options_(options), nodeStartedAt_(nodeStartedAt), nodes_(std::move(nodes)) {}

  void onRequest(const std::string& service, base::TimePoint now);
  /// Empty if the allowance of the service is used up.
  std::optional<RetryReservation> reserve(const std::string& service, base::TimePoint now);
  RetryUse use(const std::string& service, base::TimePoint now);

 private:
  RetryWindow& windowOf(const std::string& service);

  RetryWindowOptions options_;
  base::TimePoint nodeStartedAt_;
  RetryNodeCount nodes_;
  std::map<std::string, RetryWindow, std::less<>> windows_;
};

}  // namespace covewing::admission
