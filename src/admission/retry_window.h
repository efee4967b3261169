/// \file
/// A bound on the retries that all nodes together send to a service within a sliding window: a
/// share of the requests plus some slack. Each node keeps to the share of its own requests and to
/// an equal part of the slack, so that the sum keeps to the bound without any messages.
///
/// A retry is reserved when it is decided on and counts when it is sent, which may be seconds
/// later: what waits for a replica reaches the service in the window of its dispatch.
///
/// A node that has just started has no part of the slack until it has run for a whole window: its
/// former run may have used that part.
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
  /// Retries allowed for each request of the window.
  double ratio = 0.2;
  /// Retries of all nodes together allowed besides.
  double slack = 0;
  /// Part of the allowance that is used, so that late arrivals do not break the bound.
  double safety = 0.85;
};

/// The number of nodes that share the slack.
using RetryNodeCount = std::function<std::size_t()>;

/// How much of a node's allowance for the window that ends now is used.
struct RetryUse {
  std::uint32_t sent = 0;
  std::uint32_t reserved = 0;
  double allowed = 0;
};

/// The retries to one service.
class RetryWindow {
 public:
  /// Names a short span of time.
  using SlotNumber = std::int64_t;

  RetryWindow(const RetryWindowOptions& options, base::TimePoint nodeStartedAt,
              RetryNodeCount nodes)
      : options_(options),
        slackAvailableFrom_(nodeStartedAt + options.window),
        nodes_(std::move(nodes)) {}

  void onRequest(base::TimePoint now) { ++slotAt(now).requests; }
  /// Sets one retry aside; false when the allowance is used up.
  bool reserve(base::TimePoint now);
  /// A reserved retry is not sent.
  void release() { --reserved_; }
  /// Counts a reserved retry as sent now. Empty, with the reservation unchanged, when requests that
  /// allowed it have left the window meanwhile.
  std::optional<SlotNumber> send(base::TimePoint now);
  /// A retry that was counted in the slot never reached a replica: it is reserved again.
  void undoSend(SlotNumber slot);
  RetryUse use(base::TimePoint now) const;

 private:
  /// Counts of one short span.
  struct Slot {
    SlotNumber number = 0;
    std::uint32_t requests = 0;
    std::uint32_t sent = 0;
  };

  Slot& slotAt(base::TimePoint now);
  void dropBefore(SlotNumber oldest);
  /// Whether so many retries more keep to the bound in each window that ends now or later.
  bool withinBound(std::uint32_t more, base::TimePoint now) const;
  double allowance(double requests, base::TimePoint now) const;
  /// Requests that count for the window that begins with the slot: the mean of its own, those of
  /// the window before, and those of the one half a window before.
  double requestsFor(SlotNumber begin) const;
  /// Requests of the slots from `begin` up to before `end`.
  std::uint32_t requestsWithin(SlotNumber begin, SlotNumber end) const;
  SlotNumber slotsOfWindow() const;

  RetryWindowOptions options_;
  base::TimePoint slackAvailableFrom_;
  RetryNodeCount nodes_;
  std::deque<Slot> slots_;
  std::uint32_t reserved_ = 0;
};

/// One retry from its reservation until it is sent, or given back by the destructor. The window
/// must outlive it.
class RetryReservation {
 public:
  explicit RetryReservation(RetryWindow& window) : window_(&window) {}
  ~RetryReservation();
  RetryReservation(RetryReservation&& other) noexcept;
  RetryReservation& operator=(RetryReservation&& other) noexcept;
  RetryReservation(const RetryReservation&) = delete;
  RetryReservation& operator=(const RetryReservation&) = delete;

  /// False when the retry no longer keeps to the bound and must not be sent.
  bool send(base::TimePoint now);
  /// What was sent last never reached a replica: the next one is sent in its place.
  void onNotDelivered();

 private:
  /// Null after a move.
  RetryWindow* window_;
  /// Where the retry is counted; empty while it is reserved.
  std::optional<RetryWindow::SlotNumber> sentSlot_;
};

/// The retry windows of all services.
class RetryWindows {
 public:
  RetryWindows(RetryWindowOptions options, base::TimePoint nodeStartedAt, RetryNodeCount nodes)
      : options_(options), nodeStartedAt_(nodeStartedAt), nodes_(std::move(nodes)) {}

  void onRequest(const std::string& service, base::TimePoint now);
  /// Empty when the service's allowance is used up.
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
