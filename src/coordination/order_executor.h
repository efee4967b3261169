/// \file
/// Executes the orders of a region while this node holds the region's lease.
///
/// Write-ahead: a step's new state is committed to the order's row, on condition of the row's
/// revision and of the lease's tenure row, before any order is sent to an engine. So the row shows
/// the next holder every load that may be running, and with it every load slot in use. The next
/// holder continues from observed state: it polls the engines for their weights and repeats the
/// engine orders of the steps in progress with its own, higher fencing token.
///
/// Cost: with no open order, one scan per `scanInterval`; otherwise also a poll per `tickInterval`
/// of each engine whose step is in progress or next, and one commit per order and tick in which a
/// state changed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "clients/table_client.h"
#include "coordination/engine_catalogue.h"
#include "coordination/lease_manager.h"
#include "coordination/order.h"
#include "coordination/order_progress.h"

namespace covewing::coordination {

struct OrderExecutorOptions {
  std::string region;
  ProgressLimits limits;
  /// Time between two polls of the engines of open orders.
  base::Duration tickInterval = std::chrono::milliseconds(500);
  /// Time between two scans for orders created or cancelled elsewhere.
  base::Duration scanInterval = std::chrono::seconds(5);
  /// An engine order is sent again at this interval until its effect is observed.
  base::Duration resendInterval = std::chrono::seconds(2);
  /// A report older than this is ignored.
  base::Duration reportValidity = std::chrono::seconds(3);
  /// Number of finished orders kept for operators; older ones are removed.
  std::size_t maximumFinishedOrders = 64;
  std::size_t scanLimit = 64;
  /// Maximum number of orders written in one tick.
  std::uint32_t commitsPerTick = 2;
};

/// All must outlive the executor and share its thread.
struct OrderExecutorEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::TableClient& table;
  clients::EngineClient& engines;
  const EngineCatalogue& catalogue;
  /// Name of this node, recorded in the steps that it changes.
  std::string nodeName;
};

class OrderExecutor {
 public:
  /// Returns the grant that is valid at the moment of the call.
  using GrantSource = std::function<std::optional<LeaseGrant>()>;

  OrderExecutor(OrderExecutorOptions options, OrderExecutorEnvironment environment,
                GrantSource grant);
  ~OrderExecutor();
  OrderExecutor(const OrderExecutor&) = delete;
  OrderExecutor& operator=(const OrderExecutor&) = delete;

  /// Called when the lease was acquired: reads all orders and continues them.
  void start();
  /// Called when the lease was lost: discards all state at once.
  void stop();
  /// Called when an order was created or cancelled by any node: scans now.
  void onOrdersChanged();
  /// Number of orders that are not finished, as far as this executor has read them.
  std::size_t openOrders() const;

 private:
  /// State of one engine that is part of an order.
  struct EngineRecord {
    std::optional<EngineObservation> observation;
    base::TimePoint observedAt{};
    std::uint64_t nextSequence = 0;
    bool pollInFlight = false;
  };
  /// Times of one step by the local clock; not part of the row.
  struct StepClock {
    StepState state = StepState::kWaiting;
    base::TimePoint enteredAt{};
    base::TimePoint startedAt{};
    std::optional<base::TimePoint> sentAt;
    std::string refusal;
  };
  struct OpenOrder {
    /// The state as committed.
    Order order;
    /// The state that applies once the commit in flight is confirmed.
    std::optional<Order> pending;
    std::vector<StepClock> clocks;
    std::optional<base::TimePoint> settlingSince;

    /// The state from which load slots and engines in use are counted.
    const Order& latest() const { return pending ? *pending : order; }
  };

  void tick();
  /// Advances every open order as far as the observed state allows.
  void advanceAll();
  /// New information arrived: advances the orders after a short delay, once for everything that
  /// arrives in the meantime.
  void advanceSoon();
  void scheduleTick();
  void scan();
  void onScan(const clients::TableReply& reply);
  void applyRow(const clients::TableRow& row);
  void applyOrder(Order order);
  void removeOldOrders();
  bool hasOpenOrders() const;

  void pollEngines(const std::vector<CatalogueEngine>& catalogue);
  std::vector<std::string> enginesToPoll() const;
  void poll(const std::string& name, const clients::BackEndAddress& address);
  void onReport(const std::string& name, const std::optional<clients::EngineReport>& report);

  void advance(OpenOrder& open, const std::vector<CatalogueEngine>& catalogue);
  ProgressContext contextFor(const OpenOrder& open,
                             const std::vector<CatalogueEngine>& catalogue) const;
  StepEvidence evidenceFor(const OpenOrder& open, std::size_t step,
                           const std::vector<CatalogueEngine>& catalogue) const;
  void recordStepChanges(const OpenOrder& open, Order& next) const;
  /// Writes the pending state of the order.
  void commit(const std::string& id);
  void onCommit(const std::string& id, const clients::TableReply& reply);
  void readBack(const std::string& id);
  void onReadBack(const std::string& id, const clients::TableReply& reply);
  void retryReadBack(const std::string& id);
  void adopt(OpenOrder& open, Order order);
  void logFinish(const Order& order);

  void sendOrders(OpenOrder& open, const std::vector<CatalogueEngine>& catalogue);
  void send(OpenOrder& open, std::size_t index, const clients::BackEndAddress& engine,
            const LeaseGrant& grant);
  void onOrderReply(const std::string& id, const std::string& engine,
                    const std::string& engineOrderId, const clients::OrderReply& reply);

  template <class Handler>
  auto guarded(Handler handler);

  OrderExecutorOptions options_;
  OrderExecutorEnvironment environment_;
  GrantSource grant_;
  bool running_ = false;
  /// All orders were read since the lease was acquired; until then the load slots in use are not
  /// known.
  bool scanComplete_ = false;
  bool scanInFlight_ = false;
  bool rescanRequested_ = false;
  base::Revision scannedUpTo_ = 0;
  base::TimePoint nextScanAt_{};
  /// Open orders by identifier.
  std::map<std::string, OpenOrder> orders_;
  /// Identifiers of open orders, oldest first.
  std::vector<std::string> queue_;
  /// Finished orders by revision.
  std::map<base::Revision, std::string> finished_;
  std::map<std::string, EngineRecord> engines_;
  std::uint32_t commitsLeft_ = 0;
  base::TimerId tickTimer_ = 0;
  base::TimerId advanceTimer_ = 0;
  /// Replaced at each start and stop, so that callbacks of an earlier tenure find it expired.
  std::shared_ptr<bool> lifetime_;
};

}  // namespace covewing::coordination
