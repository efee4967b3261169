#include "emulator/order_queue.h"

#include <algorithm>

namespace covewing::emulator {

using clients::EngineOrder;
using clients::OrderReply;
using clients::OrderStatus;

namespace {
/// Finished orders remembered, so that a repeated one is not obeyed twice.
constexpr std::size_t kRememberedOrders = 64;
}  // namespace

OrderReply OrderQueue::accept(const EngineOrder& order,
                              const std::optional<base::Reason>& mistake) {
  if (order.fencingToken < fencingToken_ && checkFencing_) {
    return OrderReply{OrderStatus::kFencedOff, fencingToken_, "a newer fencing token was seen"};
  }
  const bool repeated = knows(order.orderId);
  if (mistake && !repeated) {
    return OrderReply{OrderStatus::kInvalid, fencingToken_, mistake->detail};
  }
  fencingToken_ = std::max(fencingToken_, order.fencingToken);
  if (!repeated) unfinished_.push_back(order);
  return OrderReply{OrderStatus::kAccepted, fencingToken_, {}};
}

bool OrderQueue::knows(const std::string& orderId) const {
  const auto same = [&](const EngineOrder& known) { return known.orderId == orderId; };
  if (std::any_of(unfinished_.begin(), unfinished_.end(), same)) return true;
  return std::find(finished_.begin(), finished_.end(), orderId) != finished_.end();
}

void OrderQueue::runNext() {
  if (running_ || unfinished_.empty()) return;
  running_ = true;
  run_(unfinished_.front());
}

void OrderQueue::finishCurrent() {
  finished_.push_back(unfinished_.front().orderId);
  if (finished_.size() > kRememberedOrders) finished_.pop_front();
  unfinished_.pop_front();
  running_ = false;
  runNext();
}

void OrderQueue::forgetAll(bool keepToken) {
  unfinished_.clear();
  finished_.clear();
  running_ = false;
  if (!keepToken) fencingToken_ = 0;
}

std::string OrderQueue::lastFinished() const {
  return finished_.empty() ? std::string() : finished_.back();
}

}  // namespace covewing::emulator
