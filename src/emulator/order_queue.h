/// \file
/// Fenced orders of one engine, run one after another: refuses older fencing tokens, takes a
/// repeated order once.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "base/result_code.h"
#include "clients/engine_client.h"

namespace covewing::emulator {

class OrderQueue {
 public:
  using Run = std::function<void(const clients::EngineOrder&)>;

  /// `run` starts an order; it is over when `finishCurrent` is called, at once or later. Without
  /// `checkFencing` older tokens are obeyed, to see that checkers notice.
  OrderQueue(bool checkFencing, Run run) : checkFencing_(checkFencing), run_(std::move(run)) {}

  /// The reply to an order; `mistake` says why it cannot be obeyed. A new, valid order is queued.
  clients::OrderReply accept(const clients::EngineOrder& order,
                             const std::optional<base::Reason>& mistake);
  /// Whether an order with this identifier is queued, running or among the last ones finished.
  bool knows(const std::string& orderId) const;
  /// Starts the next order unless one runs.
  void runNext();
  void finishCurrent();
  /// Forgets every order; the highest token only where `keepToken` is false.
  void forgetAll(bool keepToken);

  /// Orders not finished, the running one first.
  const std::deque<clients::EngineOrder>& unfinished() const { return unfinished_; }
  /// The running order; there must be one.
  const clients::EngineOrder& current() const { return unfinished_.front(); }
  base::FencingToken fencingToken() const { return fencingToken_; }
  /// Identifier of the last finished order, empty if none.
  std::string lastFinished() const;

 private:
  bool checkFencing_;
  Run run_;
  base::FencingToken fencingToken_ = 0;
  std::deque<clients::EngineOrder> unfinished_;
  std::deque<std::string> finished_;
  bool running_ = false;
};

}  // namespace covewing::emulator
