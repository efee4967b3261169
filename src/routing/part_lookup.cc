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

bool PartLookup::avoided(base::NodeId home) const {
  const auto found = avoidedUntil_.find(home);
  return found != avoidedUntil_.end() && environment_.clock.now() < found->second;
}

void PartLookup::send(const base::Endpoint& destination, const PartMessage& message) {
  environment_.peers.send(destination, base::Channel::kPartIndex, encode(message));
}

void PartLookup::lookup(std::uint64_t part, CacheScope scope, Found found) {
  const auto& home = homeOf(part);
  if (home.id == environment_.members.self().id) {
    found(index_.holdersOf(part, scope, environment_.clock.now()));
    return;
  }
  if (avoided(home.id)) {
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
  const PartUpdate notice{part, holder, held};
  if (home.id == environment_.members.self().id) {
    onNotice(notice);
  } else {
    send(home.endpoint, notice);
  }
}

void PartLookup::onNotice(const PartUpdate& notice) {
  if (notice.held) {
    index_.learn(notice.part, notice.holder, environment_.clock.now());
  } else {
    index_.forget(notice.part, notice.holder);
  }
}

void PartLookup::onTimeout(std::uint64_t nonce) {
  const auto entry = pending_.extract(nonce);
  if (entry.empty()) return;
  avoidedUntil_[entry.mapped().home] = environment_.clock.now() + options_.avoidFor;
  entry.mapped().found(std::nullopt);
}

void PartLookup::onQuestion(const base::PeerIdentity& sender, const PartQuery& question) {
  auto holders = index_.holdersOf(question.part, question.scope, environment_.clock.now());
  send(sender.endpoint, PartReply{question.nonce, std::move(holders)});
}

void PartLookup::onAnswer(const base::PeerIdentity& sender, const PartReply& answer) {
  // Also a late answer shows that the home is there.
  avoidedUntil_.erase(sender.node);
  const auto entry = pending_.extract(answer.nonce);
  if (entry.empty()) return;
  environment_.timers.cancel(entry.mapped().timer);
  entry.mapped().found(answer.holders);
}

void PartLookup::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodePartMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "part index"}});
    return;
  }
  if (const auto* question = std::get_if<PartQuery>(&*message)) onQuestion(sender, *question);
  if (const auto* answer = std::get_if<PartReply>(&*message)) onAnswer(sender, *answer);
  if (const auto* notice = std::get_if<PartUpdate>(&*message)) onNotice(*notice);
}

}  // namespace covewing::routing
