/// \file
/// A node's part in coordination: it competes for its region's lease, executes the region's orders
/// while it holds the lease, and accepts orders from operators at any time.
///
/// Messages between nodes only shorten waits: if all of them are lost, actions are delayed by
/// seconds and nothing else changes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/peer_transport.h"
#include "coordination/engine_catalogue.h"
#include "coordination/lease_manager.h"
#include "coordination/lease_messages.h"
#include "coordination/order_executor.h"
#include "coordination/order_store.h"

namespace covewing::coordination {

struct CoordinatorOptions {
  std::string region;
  /// Maximum number of concurrent loads in the region: the weight store's limit.
  std::uint32_t loadSlots = 2;
  LeaseOptions lease;
  OrderExecutorOptions executor;
};

/// All must outlive the coordinator and share its thread.
struct CoordinatorEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  clients::TableClient& table;
  clients::EngineClient& engines;
  const membership::MemberDirectory& members;
  const EngineCatalogue& catalogue;
};

class Coordinator final : public base::PeerHandler, private LeaseListener {
 public:
  Coordinator(const CoordinatorOptions& options, CoordinatorEnvironment environment);
  ~Coordinator() override;
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  void start() { lease_.start(); }
  OrderStore& orders() { return orders_; }
  LeaseStatus leaseStatus() const { return lease_.status(); }
  std::size_t openOrders() const { return executor_.openOrders(); }
  /// Planned stop: stops executing orders and releases the lease to the next holder; calls `done`
  /// once.
  void drain(std::function<void()> done);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  void onLeaseWritten(const LeaseAnnouncement& announcement) override;
  void onLeaseAcquired(const LeaseGrant& grant) override;
  void onLeaseLost() override;
  /// Notifies the other candidates for the lease.
  void notifyCandidates(CoordinationMessageType type);
  void send(const std::string& payload);

  CoordinatorEnvironment environment_;
  LeaseManager lease_;
  OrderStore orders_;
  OrderExecutor executor_;
};

}  // namespace covewing::coordination
