#include "routing/load_exchange.h"

#include <algorithm>
#include <utility>

#include "routing/load_messages.h"

namespace covewing::routing {

LoadExchange::~LoadExchange() { environment_.timers.cancel(timer_); }

base::Duration LoadExchange::interval() const {
  const auto others = static_cast<double>(environment_.members.liveMembers().size()) - 1;
  const std::chrono::duration<double> minimumInterval{others / options_.messagesPerSecond};
  return std::max(options_.interval, std::chrono::duration_cast<base::Duration>(minimumInterval));
}

void LoadExchange::tick() {
  const auto delay = interval();
  environment_.fleet.setInterval(delay);
  if (delay <= kMaximumUsefulLoadInterval) sendIfDue();
  // If there are too many nodes to send updates, their number is still checked again periodically.
  timer_ =
      environment_.timers.schedule(std::min(delay, options_.repeatInterval), [this] { tick(); });
}

void LoadExchange::sendIfDue() {
  const auto now = environment_.clock.now();
  LoadByReplica load = ownLoad();
  if (load == lastSent_ && now - lastSentAt_ < options_.repeatInterval) return;
  broadcast(load);
  lastSent_ = std::move(load);
  lastSentAt_ = now;
}

LoadByReplica LoadExchange::ownLoad() const {
  LoadByReplica load;
  for (const auto& [instance, record] : environment_.replicas.all()) {
    const auto own = record->ownLoad();
    if (own.requests > 0) load.emplace(base::engineIdOf(instance), own);
  }
  return load;
}

void LoadExchange::broadcast(const LoadByReplica& load) {
  const std::string message = encode(LoadUpdate{++lastSequence_, load});
  const auto self = environment_.members.self().id;
  for (const auto& member : environment_.members.liveMembers()) {
    if (member.id != self)
      environment_.peers.send(member.endpoint, base::Channel::kReplicaLoad, message);
  }
}

void LoadExchange::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  auto update = decodeLoadUpdate(payload);
  if (!update) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "replica load"}});
    return;
  }
  environment_.fleet.onUpdate(sender.node, sender.incarnation, update->number,
                              std::move(update->load), environment_.clock.now());
}

}  // namespace covewing::routing
