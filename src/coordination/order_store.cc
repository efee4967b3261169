#include "coordination/order_store.h"

#include <algorithm>
#include <utility>

namespace covewing::coordination {

namespace {

constexpr double kBackOffJitter = 0.5;
constexpr std::uint32_t kMaximumDoublings = 6;

using clients::TableReply;
using clients::TableStatus;

std::optional<Order> orderIn(const TableReply& reply) {
  base::Reason ignored;
  if (reply.rows.empty()) return std::nullopt;
  return parseOrder(reply.rows.front().value, reply.rows.front().revision, ignored);
}

base::Reason reasonOf(TableStatus status) {
  if (status == TableStatus::kRateLimited) {
    return {base::ResultCode::kPlatformRateLimited, "the table service's rate limit is used up"};
  }
  return {base::ResultCode::kPlatformUnavailable, "the table service does not answer"};
}

}  // namespace

/// One operation in progress. Reads the row, decides, and writes; reads again after a conflict or a
/// lost reply, a bounded number of times.
class OrderStore::Operation : public std::enable_shared_from_this<OrderStore::Operation> {
 public:
  enum class Kind : std::uint8_t { kCreate, kFind, kCancel };

  Operation(OrderStore& store, Kind kind, Order order, Callback callback)
      : store_(store),
        alive_(store.lifetime_),
        kind_(kind),
        order_(std::move(order)),
        callback_(std::move(callback)) {}

  void read() {
    ++attempts_;
    store_.table_.read({key()}, [self = shared_from_this()](const TableReply& reply) {
      if (!self->alive_.expired()) self->onRead(reply);
    });
  }

 private:
  std::string key() const { return orderKey(store_.options_.region, order_.id); }

  void onRead(const TableReply& reply) {
    if (reply.status != TableStatus::kOk) return retry(reply.status);
    std::optional<Order> found = orderIn(reply);
    if (kind_ == Kind::kCreate) return decideCreate(std::move(found));
    if (!found) {
      return finish(OrderCallStatus::kNotFound, std::nullopt,
                    {base::ResultCode::kOrderNotFound, "no order has the identifier " + order_.id});
    }
    if (kind_ == Kind::kFind) return finish(OrderCallStatus::kOk, std::move(found), {});
    decideCancel(std::move(*found));
  }

  void decideCreate(std::optional<Order> found) {
    if (!found) return commit(order_, 0);
    if (found->operationId == order_.operationId && isSameRequest(*found)) {
      return finish(OrderCallStatus::kOk, std::move(found), {});
    }
    finish(OrderCallStatus::kConflict, std::move(found),
           {base::ResultCode::kVersionConflict,
            "the operation identifier was used for another order"});
  }

  /// Whether the row has what this operation requests; the chosen engines may differ.
  bool isSameRequest(const Order& found) const {
    return found.type == order_.type && found.weights == order_.weights &&
           found.role == order_.role;
  }

  void decideCancel(Order found) {
    if (isFinal(found.state)) {
      return finish(OrderCallStatus::kFinished, std::move(found),
                    {base::ResultCode::kOrderInvalid, "the order is finished"});
    }
    if (found.cancelRequested) return finish(OrderCallStatus::kOk, std::move(found), {});
    const base::Revision revision = found.revision;
    found.cancelRequested = true;
    commit(std::move(found), revision);
  }

  void commit(Order order, base::Revision expected) {
    order.nonce = store_.random_.next();
    clients::TableTransaction transaction;
    transaction.conditions.push_back({key(), expected});
    transaction.writes.push_back({key(), encodeOrder(order)});
    store_.table_.commit(std::move(transaction),
                         [self = shared_from_this(), order](const TableReply& reply) {
                           if (!self->alive_.expired()) self->onCommit(reply, order);
                         });
  }

  void onCommit(const TableReply& reply, Order order) {
    switch (reply.status) {
      case TableStatus::kOk:
        order.revision = reply.revision;
        if (store_.listener_) store_.listener_();
        return finish(OrderCallStatus::kOk, std::move(order), {});
      case TableStatus::kUnknown:
        maybeWritten_ = true;
        return retry(reply.status);
      default:
        return retry(reply.status);
    }
  }

  void retry(TableStatus status) {
    if (attempts_ >= store_.options_.maximumAttempts) return abandon(status);
    const std::uint32_t doublings = std::min(attempts_ - 1, kMaximumDoublings);
    const base::Duration wait =
        store_.random_.jittered(store_.options_.firstBackOff * (1U << doublings), kBackOffJitter);
    store_.timers_.schedule(wait, [self = shared_from_this()] {
      if (!self->alive_.expired()) self->read();
    });
  }

  void abandon(TableStatus status) {
    if (maybeWritten_) {
      return finish(OrderCallStatus::kUnknown, std::nullopt,
                    {base::ResultCode::kPlatformOutcomeUnknown,
                     "the table service's answer was lost and cannot be read back"});
    }
    finish(OrderCallStatus::kUnavailable, std::nullopt, reasonOf(status));
  }

  void finish(OrderCallStatus status, std::optional<Order> order, base::Reason reason) {
    std::exchange(callback_, nullptr)({status, std::move(order), std::move(reason)});
  }

  OrderStore& store_;
  std::weak_ptr<bool> alive_;
  Kind kind_;
  Order order_;
  Callback callback_;
  std::uint32_t attempts_ = 0;
  bool maybeWritten_ = false;
};

OrderStore::OrderStore(OrderStoreOptions options, base::TimerService& timers,
                       base::RandomSource& random, clients::TableClient& table)
    : options_(std::move(options)), timers_(timers), random_(random), table_(table) {}

OrderStore::~OrderStore() = default;

void OrderStore::create(Order order, Callback callback) {
  std::make_shared<Operation>(*this, Operation::Kind::kCreate, std::move(order),
                              std::move(callback))
      ->read();
}

void OrderStore::find(std::string id, Callback callback) {
  Order order;
  order.id = std::move(id);
  std::make_shared<Operation>(*this, Operation::Kind::kFind, std::move(order), std::move(callback))
      ->read();
}

void OrderStore::cancel(std::string id, Callback callback) {
  Order order;
  order.id = std::move(id);
  std::make_shared<Operation>(*this, Operation::Kind::kCancel, std::move(order),
                              std::move(callback))
      ->read();
}

void OrderStore::list(ListCallback callback) {
  table_.scan(orderPrefix(options_.region), 0, options_.listLimit,
              [callback = std::move(callback)](const TableReply& reply) {
                if (reply.status != TableStatus::kOk) {
                  callback({std::nullopt, reasonOf(reply.status)});
                  return;
                }
                std::vector<Order> orders;
                base::Reason ignored;
                for (const clients::TableRow& row : reply.rows) {
                  if (auto order = parseOrder(row.value, row.revision, ignored)) {
                    orders.push_back(std::move(*order));
                  }
                }
                callback({std::move(orders), {}});
              });
}

}  // namespace covewing::coordination
