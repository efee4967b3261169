#include "coordination/coordinator.h"

#include <utility>

#include "base/codec.h"

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

OrderBookOptions bookOptionsOf(const CoordinatorOptions& options) {
  OrderBookOptions book;
  book.region = options.region;
  return book;
}

}  // namespace

Coordinator::Coordinator(const CoordinatorOptions& options, CoordinatorEnvironment environment)
    : environment_(environment),
      lease_(leaseOptionsOf(options),
             {environment.clock, environment.timers, environment.random, environment.log,
              environment.table, environment.members},
             *this),
      orders_(bookOptionsOf(options), environment.timers, environment.random, environment.table),
      executor_(executorOptionsOf(options),
                {environment.clock, environment.timers, environment.random, environment.log,
                 environment.table, environment.engines, environment.catalogue,
                 environment.members.self().name},
                [this] { return lease_.grant(); }) {
  orders_.setChangeListener([this] {
    executor_.onOrdersChanged();
    notifyCandidates(MessageType::kOrdersChanged);
  });
}

Coordinator::~Coordinator() = default;

void Coordinator::drain(std::function<void()> done) {
  executor_.stop();
  lease_.release([this, done = std::move(done)] {
    notifyCandidates(MessageType::kLeaseReleased);
    done();
  });
}

void Coordinator::onPeerMessage(const base::PeerIdentity& /*sender*/, std::string_view payload) {
  base::Reader reader(payload);
  reader.beginArray();
  const std::uint64_t type = reader.unsignedInteger();
  if (!reader.ok()) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "coordination"}});
    return;
  }
  if (type == static_cast<std::uint64_t>(MessageType::kLeaseReleased)) lease_.onReleaseHint();
  if (type == static_cast<std::uint64_t>(MessageType::kOrdersChanged)) {
    executor_.onOrdersChanged();
  }
}

void Coordinator::onLeaseAcquired(const LeaseGrant& /*grant*/) { executor_.start(); }

void Coordinator::onLeaseLost() { executor_.stop(); }

void Coordinator::notifyCandidates(MessageType type) {
  const base::NodeId self = environment_.members.self().id;
  for (const membership::Member& member : lease_.candidates()) {
    if (member.id == self) continue;
    base::Writer writer;
    writer.array(1).unsignedInteger(static_cast<std::uint64_t>(type));
    environment_.peers.send(member.endpoint, base::Channel::kCoordination, writer.take());
  }
}

}  // namespace covewing::coordination
