#include "node/weights_coordinator.h"

#include <charconv>
#include <utility>

#include "coordination/lease_messages.h"

namespace covewing::node {

namespace {

/// Key prefix of the records of a replica's weights change. The value is empty while the replica
/// loads weights, and "VERSION MODEL" once it serves them.
constexpr std::string_view kRecordPrefix = "replica-weights/";
/// Number of low bits of a record's version that hold the record counter; the fencing token is
/// above them.
constexpr unsigned kCounterBits = 24;

}  // namespace

WeightsCoordinator::WeightsCoordinator(WeightsCoordinatorOptions options,
                                       WeightsCoordinatorEnvironment environment)
    : options_(std::move(options)),
      environment_(environment),
      homes_(environment.members),
      lease_(options_.lease,
             {environment.clock, environment.timers, environment.random, environment.log,
              environment.table, environment.members, environment.canOrder},
             *this),
      rollout_(options_.rollout,
               {environment.clock, environment.timers, environment.log, environment.weights,
                environment.replicas, environment.targets, *this, environment.members.self().name,
                environment.longRunReplicas, environment.replicasInUse, environment.isConfigured},
               [this] { return lease_.grantForOrders(); }) {}

WeightsCoordinator::~WeightsCoordinator() { environment_.timers.cancel(settleTimer_); }

void WeightsCoordinator::start() {
  environment_.records.subscribe(
      std::string{kRecordPrefix},
      [this](const membership::GossipRecord& record) { onRecord(record); });
  lease_.start();
}

void WeightsCoordinator::drain(std::function<void()> done) {
  environment_.timers.cancel(settleTimer_);
  rollout_.stop();
  lease_.release([this, done = std::move(done)] {
    coordination::sendToCandidates(environment_.peers, lease_, environment_.members.self().id,
                                   coordination::encodeCoordinationMessage(
                                       coordination::CoordinationMessageType::kLeaseReleased));
    done();
  });
}

void WeightsCoordinator::onPeerMessage(const base::PeerIdentity& /*sender*/,
                                       std::string_view payload) {
  const auto message = coordination::decodeCoordinationMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "coordination"}});
    return;
  }
  if (message->type == coordination::CoordinationMessageType::kLeaseReleased)
    lease_.onReleaseHint();
  if (message->announcement) lease_.onAnnouncement(*message->announcement);
  if (message->record && message->record->key.starts_with(kRecordPrefix))
    onDirectRecord(*message->record);
}

void WeightsCoordinator::onDirectRecord(const membership::GossipRecord& record) {
  // Datagrams may arrive out of order.
  auto& known = directRecordVersions_[record.key];
  if (record.version <= known) return;
  known = record.version;
  onRecord(record);
}

void WeightsCoordinator::onLeaseWritten(const coordination::LeaseAnnouncement& announcement) {
  coordination::sendToCandidates(environment_.peers, lease_, environment_.members.self().id,
                                 coordination::encodeLeaseWritten(announcement));
}

void WeightsCoordinator::onLeaseAcquired(const coordination::LeaseGrant& grant) {
  token_ = grant.token;
  recordCounter_ = 0;
  loadingPublishedAt_.clear();
  settleTimer_ = environment_.timers.schedule(grant.settleTime, [this] { rollout_.start(); });
}

void WeightsCoordinator::onLeaseLost() {
  environment_.timers.cancel(settleTimer_);
  rollout_.stop();
}

void WeightsCoordinator::publish(const std::string& instance, std::string value) {
  const std::uint64_t version = (token_ << kCounterBits) + ++recordCounter_;
  const membership::GossipRecord record{std::string{kRecordPrefix} + instance, version,
                                        std::move(value)};
  if (environment_.members.liveMembers().size() <= options_.maximumMembersForGossip)
    environment_.records.publish(record);
  onRecord(record);
  sendToHome(record);
}

void WeightsCoordinator::sendToHome(const membership::GossipRecord& record) {
  const auto instance = std::string_view{record.key}.substr(kRecordPrefix.size());
  const auto replica = environment_.replicas.find(instance);
  if (replica == nullptr) return;
  const auto& home = homes_.homeOf(base::engineIdOf(instance), replica->facts().zone);
  if (home.id == environment_.members.self().id) return;
  environment_.peers.send(home.endpoint, base::Channel::kCoordination,
                          coordination::encodeReplicaChange(record));
}

void WeightsCoordinator::onReplicaChanging(const std::string& instance) {
  const auto now = environment_.clock.now();
  auto& publishedAt = loadingPublishedAt_[instance];
  // A record published recently is still valid at all nodes, and each record costs every node
  // several messages.
  if (publishedAt != base::TimePoint{} && now - publishedAt < options_.loadingStateLifetime / 2)
    return;
  publishedAt = now;
  publish(instance, {});
}

void WeightsCoordinator::onReplicaServing(const std::string& instance, const std::string& model,
                                          base::WeightsVersion version) {
  loadingPublishedAt_.erase(instance);
  publish(instance, std::to_string(version) + ' ' + model);
}

void WeightsCoordinator::onRecord(const membership::GossipRecord& record) {
  const auto instance = std::string_view{record.key}.substr(kRecordPrefix.size());
  const auto replica = environment_.replicas.find(instance);
  if (replica == nullptr) return;
  if (record.value.empty()) {
    replica->setLoadingWeights(environment_.clock.now() + options_.loadingStateLifetime);
    return;
  }
  base::WeightsVersion version = 0;
  const char* end = record.value.data() + record.value.size();
  const auto [stop, error] = std::from_chars(record.value.data(), end, version);
  if (error != std::errc{} || stop == end) return;
  replica->recordVersion(std::string{stop + 1, end}, version);
  replica->setLoadingWeights({});
}

}  // namespace covewing::node
