// RelayFlow: how an attempt gets to its replica, by a connection of this node or through another
// node, and which failures are those of the way and not of the replica.
#include <algorithm>
#include <utility>

#include "request/relay_flow.h"
#include "request/relay_flow_internal.h"

namespace covewing::request {

namespace {

/// Time after which sent bytes should be acknowledged, which takes a round trip. Longer than the
/// time after which the operating system first repeats a lost packet, 200 ms.
constexpr base::Duration kAcknowledgementTime = std::chrono::milliseconds(225);
/// Maximum number of nodes that are asked to pass one attempt on.
constexpr std::size_t kMaximumRelays = 3;

}  // namespace

std::optional<routing::RelayPeer> RelayFlow::chooseRelay() {
  const auto& record = *attempt_->decision.replica;
  if (dependencies_.links.working(record)) return std::nullopt;
  return dependencies_.relayPeers.choose(record.facts(), attempt_->failedRelays,
                                         dependencies_.clock.now());
}

void RelayFlow::send(const std::optional<routing::RelayPeer>& relay) {
  attempt_->relay = relay;
  clients::RelayPath path;
  if (relay) {
    path.via = relay->endpoint;
    dependencies_.relayPeers.onSent(relay->id);
  }
  call_ = dependencies_.client.start(path, incoming_.request, termsFor(attempt_->decision), *this);
  if (paused_) call_->setPaused(true);
  armLinkCheck();
}

bool RelayFlow::reroute(const clients::DispatchError& error) {
  const auto now = dependencies_.clock.now();
  auto& record = *attempt_->decision.replica;
  const bool unreachableThere = attempt_->relay && error.point == clients::FailurePoint::kBackEnd;
  if (attempt_->relay) {
    recordRelayFailure(error);
  } else {
    dependencies_.links.onConnectFailed(record);
  }
  if (unreachableThere || attempt_->failedRelays.size() >= kMaximumRelays) return false;
  if (timeLeft() < kMinimumAttemptTime || dispatchRefusal()) return false;
  const auto next = dependencies_.relayPeers.choose(record.facts(), attempt_->failedRelays, now);
  if (!next) return false;
  dependencies_.log.write(base::Event::kRelayRerouted,
                          {{"request", incoming_.request->id},
                           {"replica", record.facts().instance},
                           {"attempt", std::to_string(dispatches_)},
                           {"after_ms", millisecondsText(now - attempt_->sentAt)},
                           {"via", base::toString(next->endpoint)},
                           {"why", error.reason.detail}});
  attempt_->notSent = false;
  send(next);
  return true;
}

void RelayFlow::recordRelayFailure(const clients::DispatchError& error) {
  const auto now = dependencies_.clock.now();
  const auto relay = *std::exchange(attempt_->relay, std::nullopt);
  dependencies_.relayPeers.onEnded(relay.id);
  attempt_->failedRelays.push_back(relay.id);
  if (error.point == clients::FailurePoint::kRelay) {
    dependencies_.relayPeers.onPeerFailed(relay.id, now);
  } else {
    dependencies_.relayPeers.onReplicaUnreachable(
        relay.id, attempt_->decision.replica->facts().instance, now);
  }
}

void RelayFlow::armLinkCheck() {
  dependencies_.timers.cancel(linkTimer_);
  if (attempt_->relay) return;
  linkTimer_ = dependencies_.timers.schedule(kAcknowledgementTime, [this] { onLinkCheck(); });
}

void RelayFlow::onLinkCheck() {
  if (ended_ || !attempt_ || attempt_->headReceived || attempt_->relay) return;
  if (call_->unacknowledgedBytes().value_or(0) == 0) return;
  dependencies_.links.verify(*attempt_->decision.replica,
                             [weak = weak_from_this(), dispatch = dispatches_](bool works) {
                               if (const auto flow = weak.lock())
                                 flow->onLinkVerified(dispatch, works);
                             });
}

void RelayFlow::onLinkVerified(std::uint32_t dispatch, bool works) {
  if (works || ended_ || !attempt_ || dispatch != dispatches_) return;
  // What was sent may have arrived, so only a repeatable request is sent again.
  if (assignment_.route->repeatable() && !attempt_->headReceived) onReceiveTimeout();
}

bool RelayFlow::blamesReplica(clients::FailurePoint point) {
  if (point == clients::FailurePoint::kRelay) return false;
  const auto& record = *attempt_->decision.replica;
  if (attempt_->relay) return true;
  return dependencies_.links.working(record) && !dependencies_.links.onConnectionBroken(record);
}

void RelayFlow::recordAttemptFailure(clients::FailurePoint point) {
  if (!blamesReplica(point)) return;
  auto& record = *attempt_->decision.replica;
  attempt_->outcome = routing::PlacementOutcome::kFailed;
  record.health().onFailure(dependencies_.clock.now(),
                            dependencies_.replicas.failureRateOfOthers(record));
}

}  // namespace covewing::request
