#include "routing/part_lookup.h"

#include <utility>

#include "membership/rendezvous.h"

namespace covewing::routing {

PartLookup::~PartLookup() {
  for (const auto& [nonce, pending] : pending_) environment_.timers.cancel(pending.timer);
}

const membership::Member& PartLookup::homeOf(std::uint64_t part) const {
  return membership::rendezvousHome(part, environment_.members,
                                    [](const membership::Member&) { return true; });
}

bool PartLookup::isAvoided(base::NodeId home) const {
  const auto found = avoidedUntil_.find(home);
  return found != avoidedUntil_.end() && environment_.clock.now() < found->second;
}

void PartLookup::send(const base::Endpoint& destination, const PartMessage& message) {
  environment_.peers.send(destination, base::Channel::kPartIndex, encode(message));
}

void PartLookup::lookup(std::uint64_t part, CacheScope scope, HoldersCallback found) {
  const auto& home = homeOf(part);
  if (home.id == environment_.members.self().id) {
    found(index_.holdersOf(part, scope, environment_.clock.now()));
    return;
  }
  if (isAvoided(home.id)) {
    found(std::nullopt);
    return;
  }
  const auto nonce = environment_.random.next();
  const auto timer =
      environment_.timers.schedule(options_.timeout, [this, nonce] { onTimeout(nonce); });
  pending_.emplace(nonce, Pending{home.id, timer, std::move(found)});
  send(home.endpoint, PartQuery{nonce, part, scope});
}

void PartLookup::announce(std::uint64_t part, const PartHolder& holder, bool held) {
  const auto& home = homeOf(part);
  const PartUpdate update{part, holder, held};
  if (home.id == environment_.members.self().id) {
    onUpdate(update);
  } else {
    send(home.endpoint, update);
  }
}

void PartLookup::onUpdate(const PartUpdate& update) {
  if (update.held) {
    index_.add(update.part, update.holder, environment_.clock.now());
  } else {
    index_.remove(update.part, update.holder);
  }
}

void PartLookup::onTimeout(std::uint64_t nonce) {
  const auto entry = pending_.extract(nonce);
  if (entry.empty()) return;
  avoidedUntil_[entry.mapped().home] = environment_.clock.now() + options_.avoidFor;
  entry.mapped().found(std::nullopt);
}

void PartLookup::onQuery(const base::PeerIdentity& sender, const PartQuery& query) {
  auto holders = index_.holdersOf(query.part, query.scope, environment_.clock.now());
  send(sender.endpoint, PartReply{query.nonce, std::move(holders)});
}

void PartLookup::onReply(const base::PeerIdentity& sender, const PartReply& reply) {
  // A late reply, too, shows that the home is alive.
  avoidedUntil_.erase(sender.node);
  const auto entry = pending_.extract(reply.nonce);
  if (entry.empty()) return;
  environment_.timers.cancel(entry.mapped().timer);
  entry.mapped().found(reply.holders);
}

void PartLookup::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodePartMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "part index"}});
    return;
  }
  if (const auto* query = std::get_if<PartQuery>(&*message)) onQuery(sender, *query);
  if (const auto* reply = std::get_if<PartReply>(&*message)) onReply(sender, *reply);
  if (const auto* update = std::get_if<PartUpdate>(&*message)) onUpdate(*update);
}

}  // namespace covewing::routing
