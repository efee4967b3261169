/// \file
/// Creates, lists, shows and cancels orders for an operator, on any node. Only the holder of the
/// region's lease executes them (order_executor.h).
///
/// Creating is idempotent: the identifier of an order is derived from the operation identifier, and
/// its row is written on condition that it does not exist. Cancelling sets a flag in the row that
/// the executor acts on. After a lost reply the row is read back before anything is repeated.
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
  /// The operation identifier was used for another order, which is in `order`.
  kConflict,
  /// The order is finished and cannot be cancelled.
  kFinished,
  /// The table service is not available; nothing was changed.
  kUnavailable,
  /// The change may have taken effect. Repeating the call with the same operation identifier shows
  /// whether it did.
  kUnknown,
};

struct OrderCallResult {
  OrderCallStatus status = OrderCallStatus::kUnknown;
  std::optional<Order> order;
  base::Reason reason;
};

struct OrderListResult {
  /// Ascending by last change; empty if the table service did not reply.
  std::optional<std::vector<Order>> orders;
  base::Reason reason;
};

struct OrderStoreOptions {
  std::string region;
  /// Maximum number of reads of the row in one operation before it is abandoned.
  std::uint32_t maximumAttempts = 8;
  base::Duration firstBackOff = std::chrono::milliseconds(50);
  /// Maximum number of orders in a list.
  std::size_t listLimit = 256;
};

class OrderStore {
 public:
  using Callback = std::function<void(OrderCallResult)>;
  using ListCallback = std::function<void(OrderListResult)>;
  /// Called when this node created an order of the region or requested its cancellation.
  using ChangeListener = std::function<void()>;

  OrderStore(OrderStoreOptions options, base::TimerService& timers, base::RandomSource& random,
             clients::TableClient& table);
  ~OrderStore();
  OrderStore(const OrderStore&) = delete;
  OrderStore& operator=(const OrderStore&) = delete;

  const std::string& region() const { return options_.region; }
  void setChangeListener(ChangeListener listener) { listener_ = std::move(listener); }
  /// Each calls its callback exactly once, later.
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
  /// Operations that may outlive this object hold a weak reference and do nothing once it has
  /// expired.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
