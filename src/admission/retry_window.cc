#include "admission/retry_window.h"

#include <algorithm>
#include <utility>

namespace covewing::admission {

namespace {

constexpr base::Duration kSlot = std::chrono::milliseconds(250);

RetryWindow::SlotNumber slotNumber(base::TimePoint time) { return time.time_since_epoch() / kSlot; }

}  // namespace

RetryWindow::Slot& RetryWindow::slotAt(base::TimePoint now) {
  const auto number = slotNumber(now);
  if (slots_.empty() || slots_.back().number != number) {
    // The requests of the preceding window count for a window that begins now.
    dropBefore(number - 2 * slotsOfWindow());
    slots_.push_back({number, 0, 0});
  }
  return slots_.back();
}

void RetryWindow::dropBefore(SlotNumber oldest) {
  while (!slots_.empty() && slots_.front().number < oldest) slots_.pop_front();
}

RetryWindow::SlotNumber RetryWindow::slotsOfWindow() const {
  return (options_.window + kSlot - base::Duration{1}) / kSlot;
}

bool RetryWindow::reserve(base::TimePoint now) {
  if (!withinBound(reserved_ + 1, now)) return false;
  ++reserved_;
  return true;
}

std::optional<RetryWindow::SlotNumber> RetryWindow::send(base::TimePoint now) {
  if (!withinBound(1, now)) return std::nullopt;
  --reserved_;
  auto& slot = slotAt(now);
  ++slot.sent;
  return slot.number;
}

void RetryWindow::undoSend(SlotNumber slot) {
  ++reserved_;
  const auto found = std::ranges::find(slots_, slot, &Slot::number);
  if (found != slots_.end()) --found->sent;
}

RetryUse RetryWindow::use(base::TimePoint now) const {
  const auto current = slotNumber(now);
  const auto oldest = current - slotsOfWindow();
  RetryUse use;
  for (const Slot& slot : slots_) {
    if (slot.number >= oldest) use.sent += slot.sent;
  }
  use.reserved = reserved_;
  use.allowed = allowance(requestsWithin(oldest, current + 1), now);
  return use;
}

bool RetryWindow::withinBound(std::uint32_t more, base::TimePoint now) const {
  const auto latest = use(now);
  if (latest.sent + more > latest.allowed) return false;
  // Every other window that contains this moment begins within the last one.
  const auto current = slotNumber(now);
  const auto oldest = current - slotsOfWindow();
  std::uint32_t sent = more;
  auto slot = slots_.rbegin();
  for (auto begin = current; begin > oldest; --begin) {
    for (; slot != slots_.rend() && slot->number >= begin; ++slot) sent += slot->sent;
    if (sent > allowance(requestsFor(begin), now)) return false;
  }
  return true;
}

double RetryWindow::allowance(double requests, base::TimePoint now) const {
  // The incarnation before a restart may have used this node's part of the slack within the same
  // window.
  const double slack = now < slackAvailableFrom_ ? 0 : options_.slack;
  const double share = slack / static_cast<double>(std::max<std::size_t>(nodes_(), 1));
  return options_.safety * (options_.ratio * requests + share);
}

double RetryWindow::requestsFor(SlotNumber begin) const {
  // The mean of three windows, computed alike by all nodes and in all their incarnations: no
  // request is counted twice if a node restarts or callers move to another node. The result is at
  // most the largest of the three.
  const auto span = slotsOfWindow();
  const auto half = span / 2;
  const auto before = requestsWithin(begin - span, begin);
  const auto halfBefore = requestsWithin(begin - half, begin - half + span);
  const auto own = requestsWithin(begin, begin + span);
  return (before + halfBefore + own) / 3.0;
}

std::uint32_t RetryWindow::requestsWithin(SlotNumber begin, SlotNumber end) const {
  std::uint32_t requests = 0;
  for (const Slot& slot : slots_) {
    if (slot.number >= begin && slot.number < end) requests += slot.requests;
  }
  return requests;
}

RetryReservation::~RetryReservation() {
  if (window_ != nullptr && !sentSlot_) window_->release();
}

RetryReservation::RetryReservation(RetryReservation&& other) noexcept
    : window_(std::exchange(other.window_, nullptr)), sentSlot_(other.sentSlot_) {}

RetryReservation& RetryReservation::operator=(RetryReservation&& other) noexcept {
  std::swap(window_, other.window_);
  std::swap(sentSlot_, other.sentSlot_);
  return *this;
}

bool RetryReservation::send(base::TimePoint now) {
  if (!sentSlot_) sentSlot_ = window_->send(now);
  return sentSlot_.has_value();
}

void RetryReservation::onNotDelivered() {
  if (sentSlot_) window_->undoSend(*std::exchange(sentSlot_, std::nullopt));
}

void RetryWindows::onRequest(const std::string& service, base::TimePoint now) {
  windowOf(service).onRequest(now);
}

std::optional<RetryReservation> RetryWindows::reserve(const std::string& service,
                                                      base::TimePoint now) {
  auto& window = windowOf(service);
  if (!window.reserve(now)) return std::nullopt;
  return RetryReservation{window};
}

RetryUse RetryWindows::use(const std::string& service, base::TimePoint now) {
  return windowOf(service).use(now);
}

RetryWindow& RetryWindows::windowOf(const std::string& service) {
  return windows_.try_emplace(service, options_, nodeStartedAt_, nodes_).first->second;
}

}  // namespace covewing::admission
