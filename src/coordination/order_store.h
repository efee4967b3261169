/// \file
/// Orders as any node handles them for an operator: create, list, show, cancel. Only the holder of
/// the region's lease moves them on (order_executor.h).
///
/// Creating is idempotent: an order's identifier derives from the operation identifier, and its row
/// is written on condition that there is none. Cancelling sets a mark in the row that the executor
/// obeys. Lost answers are read back before anything is repeated.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "coordination/order.h"

namespace covewing::coordination {

enum class OrderCallStatus : std::uint8_t {
  kOk,
  kNotFound,
  /// The operation identifier was used for another order, which `order` holds.
  kConflict,
  /// The order is finished: nothing to cancel.
  kFinished,
  /// The table service does not answer; nothing was changed.
  kUnavailable,
  /// The change may be in force. Repeating the call with the same operation identifier tells.
  kUnknown,
};

struct OrderCallResult {
  OrderCallStatus status = OrderCallStatus::kUnknown;
  std::optional<Order> order;
  base::Reason reason;
};

struct OrderListResult {
  /// Newest change last; empty when the table service did not answer.
  std::optional<std::vector<Order>> orders;
  base::Reason reason;
};

struct OrderStoreOptions {
  std::string region;
  /// Calls to the table service in one operation before it gives up.
  std::uint32_t maximumAttempts = 8;
  base::Duration firstBackoff = std::chrono::milliseconds(50);
  /// Most orders that a list holds.
  std::size_t listLimit = 256;
};

class OrderStore {
 public:
  using Callback = std::function<void(OrderCallResult)>;
  using ListCallback = std::function<void(OrderListResult)>;
  /// Called when an order of the region was created or marked by this node.
  using ChangeListener = std::function<void()>;

  OrderStore(OrderStoreOptions options, base::TimerService& timers, base::RandomSource& random,
             clients::TableClient& table);
  ~OrderStore();
  OrderStore(const OrderStore&) = delete;
  OrderStore& operator=(const OrderStore&) = delete;

  const std::string& region() const { return options_.region; }
  void setChangeListener(ChangeListener listener) { listener_ = std::move(listener); }
  /// Each answers exactly once, later.
  void create(Order order, Callback callback);
  void find(std::string id, Callback callback);
  void cancel(std::string id, Callback callback);
  void list(ListCallback callback);

 private:
  class Operation;

  OrderStoreOptions options_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  clients::TableClient& table_;
  ChangeListener listener_;
  /// Outlived by operations that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
