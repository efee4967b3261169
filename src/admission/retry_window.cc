#include "admission/retry_window.h"

#include <algorithm>

namespace covewing::admission {

namespace {

constexpr base::Duration kSlot = std::chrono::milliseconds(250);

std::int64_t slotNumber(base::TimePoint time) { return time.time_since_epoch() / kSlot; }

}  // namespace

RetryWindow::Slot& RetryWindow::slotAt(base::TimePoint now) {
  const auto number = slotNumber(now);
  if (slots_.empty() || slots_.back().number != number) slots_.push_back({number, 0, 0});
  return slots_.back();
}

void RetryWindow::onRequest(base::TimePoint now) { ++slotAt(now).requests; }

bool RetryWindow::take(const RetryWindowOptions& options, std::size_t nodes, base::TimePoint now) {
  auto& current = slotAt(now);
  const auto oldest = slotNumber(now - options.window);
  while (slots_.front().number < oldest) slots_.pop_front();
  double requests = 0;
  double retries = 0;
  for (const Slot& slot : slots_) {
    requests += slot.requests;
    retries += slot.retries;
  }
  const double share = options.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double allowed = options.safety * (options.ratio * requests + share);
  if (retries + 1 > allowed) return false;
  ++current.retries;
  return true;
}

void RetryWindows::onRequest(const std::string& service, base::TimePoint now) {
  windows_[service].onRequest(now);
}

bool RetryWindows::take(const std::string& service, std::size_t nodes, base::TimePoint now) {
  return windows_[service].take(options_, nodes, now);
}

}  // namespace covewing::admission
