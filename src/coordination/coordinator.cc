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

constexpr std::uint32_t kAnnouncementFields = 6;

/// Reads what follows the message's type; empty when it is malformed.
std::optional<LeaseAnnouncement> readAnnouncement(base::Reader& reader) {
  LeaseAnnouncement announcement;
  announcement.revision = reader.unsignedInteger();
  announcement.tenureRevision = reader.unsignedInteger();
  announcement.row.holder = reader.text();
  announcement.row.incarnation = reader.unsignedInteger();
  announcement.row.token = reader.unsignedInteger();
  if (!reader.ok()) return std::nullopt;
  return announcement;
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
  const auto type = static_cast<MessageType>(reader.unsignedInteger());
  switch (type) {
    case MessageType::kLeaseReleased:
      if (reader.ok()) return lease_.onReleaseHint();
      break;
    case MessageType::kOrdersChanged:
      if (reader.ok()) return executor_.onOrdersChanged();
      break;
    case MessageType::kLeaseWritten:
      if (const auto announcement = readAnnouncement(reader)) {
        return lease_.onAnnouncement(*announcement);
      }
      break;
  }
  environment_.log.write(base::Event::kMessageRejected, {{"channel", "coordination"}});
}

void Coordinator::onLeaseAcquired(const LeaseGrant& /*grant*/) { executor_.start(); }

void Coordinator::onLeaseLost() { executor_.stop(); }

void Coordinator::onLeaseWritten(const LeaseAnnouncement& announcement) {
  base::Writer writer;
  writer.array(kAnnouncementFields)
      .unsignedInteger(static_cast<std::uint64_t>(MessageType::kLeaseWritten))
      .unsignedInteger(announcement.revision)
      .unsignedInteger(announcement.tenureRevision)
      .text(announcement.row.holder)
      .unsignedInteger(announcement.row.incarnation)
      .unsignedInteger(announcement.row.token);
  sendToCandidates(writer.take());
}

void Coordinator::notifyCandidates(MessageType type) {
  base::Writer writer;
  writer.array(1).unsignedInteger(static_cast<std::uint64_t>(type));
  sendToCandidates(writer.take());
}

void Coordinator::sendToCandidates(const std::string& payload) {
  const base::NodeId self = environment_.members.self().id;
  for (const membership::Member& member : lease_.candidates()) {
    if (member.id == self) continue;
    environment_.peers.send(member.endpoint, base::Channel::kCoordination, payload);
  }
}

}  // namespace covewing::coordination
