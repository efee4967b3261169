#include "coordination/coordinator.h"

#include <utility>

#include "coordination/lease_messages.h"

namespace covewing::coordination {

namespace {

LeaseOptions leaseOptionsOf(const CoordinatorOptions& options) {
  LeaseOptions lease = options.lease;
  lease.name = coordinatorLeaseName(options.region);
  lease.region = options.region;
  return lease;
}

OrderExecutorOptions executorOptionsOf(const CoordinatorOptions& options) {
  OrderExecutorOptions executor = options.executor;
  executor.region = options.region;
  executor.limits.loadSlots = options.loadSlots;
  return executor;
}

OrderStoreOptions storeOptionsOf(const CoordinatorOptions& options) {
  OrderStoreOptions store;
  store.region = options.region;
  return store;
}

}  // namespace

Coordinator::Coordinator(const CoordinatorOptions& options, CoordinatorEnvironment environment)
    : environment_(environment),
      lease_(leaseOptionsOf(options),
             {environment.clock, environment.timers, environment.random, environment.log,
              environment.table, environment.members},
             *this),
      orders_(storeOptionsOf(options), environment.timers, environment.random, environment.table),
      executor_(executorOptionsOf(options),
                {environment.clock, environment.timers, environment.random, environment.log,
                 environment.table, environment.engines, environment.catalogue,
                 environment.members.self().name},
                [this] { return lease_.grant(); }) {
  orders_.setChangeListener([this] {
    executor_.onOrdersChanged();
    notifyCandidates(CoordinationMessageType::kOrdersChanged);
  });
}

Coordinator::~Coordinator() = default;

void Coordinator::drain(std::function<void()> done) {
  executor_.stop();
  lease_.release([this, done = std::move(done)] {
    notifyCandidates(CoordinationMessageType::kLeaseReleased);
    done();
  });
}

void Coordinator::onPeerMessage(const base::PeerIdentity& /*sender*/, std::string_view payload) {
  const auto message = decodeCoordinationMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "coordination"}});
    return;
  }
  switch (message->type) {
    case CoordinationMessageType::kLeaseReleased:
      return lease_.onReleaseHint();
    case CoordinationMessageType::kOrdersChanged:
      return executor_.onOrdersChanged();
    case CoordinationMessageType::kLeaseWritten:
      return lease_.onAnnouncement(*message->announcement);
    case CoordinationMessageType::kReplicaChange:
      // Used by the weights rollout of relaying nodes (node/weights_coordinator.h). Orders here are
      // sent to engines by the executor.
      return;
  }
}

void Coordinator::onLeaseAcquired(const LeaseGrant& /*grant*/) { executor_.start(); }

void Coordinator::onLeaseLost() { executor_.stop(); }

void Coordinator::onLeaseWritten(const LeaseAnnouncement& announcement) {
  send(encodeLeaseWritten(announcement));
}

void Coordinator::notifyCandidates(CoordinationMessageType type) {
  send(encodeCoordinationMessage(type));
}

void Coordinator::send(const std::string& payload) {
  sendToCandidates(environment_.peers, lease_, environment_.members.self().id, payload);
}

}  // namespace covewing::coordination
