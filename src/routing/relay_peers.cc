#include "routing/relay_peers.h"

#include <algorithm>
#include <array>

namespace covewing::routing {

namespace {

/// A record's key consists of this prefix and the node's name.
constexpr std::string_view kRecordPrefix = "relay/";
/// Number of low bits of a record's version that are left for changes within an incarnation.
constexpr unsigned kCounterBits = 12;

}  // namespace

void RelayPeers::start(const std::optional<base::Endpoint>& ownListener) {
  records_.subscribe(std::string{kRecordPrefix},
                     [this](const membership::GossipRecord& record) { onRecord(record); });
  if (!ownListener) return;
  const auto& self = members_.self();
  records_.publish({std::string{kRecordPrefix} + self.name, self.incarnation << kCounterBits,
                    base::toString(*ownListener)});
}

void RelayPeers::onRecord(const membership::GossipRecord& record) {
  const auto name = std::string_view{record.key}.substr(kRecordPrefix.size());
  const auto endpoint = base::parseEndpoint(record.value);
  if (endpoint) {
    listeners_.insert_or_assign(std::string{name}, *endpoint);
  } else {
    listeners_.erase(std::string{name});
  }
}

bool RelayPeers::isCandidate(const membership::Member& member, const std::string& instance,
                             const std::vector<base::NodeId>& excluded, base::TimePoint now) const {
  if (member.id == members_.self().id || member.draining) return false;
  if (member.state != membership::MemberState::kAlive) return false;
  if (!listeners_.contains(member.name)) return false;
  if (std::ranges::find(excluded, member.id) != excluded.end()) return false;
  const auto avoided = avoidedUntil_.find(member.id);
  if (avoided != avoidedUntil_.end() && now < avoided->second) return false;
  const auto unreachable = replicaAvoidedUntil_.find({member.id, instance});
  return unreachable == replicaAvoidedUntil_.end() || now >= unreachable->second;
}

std::optional<RelayPeer> RelayPeers::choose(const Replica& replica,
                                            const std::vector<base::NodeId>& excluded,
                                            base::TimePoint now) {
  enum Preference : std::size_t { kOwnZone, kReplicaZone, kOtherZone, kPreferences };
  std::array<std::vector<const membership::Member*>, kPreferences> candidates;
  for (const auto& member : members_.liveMembers()) {
    if (!isCandidate(member, replica.instance, excluded, now)) continue;
    const auto preference = member.zone == members_.self().zone ? kOwnZone
                            : member.zone == replica.zone       ? kReplicaZone
                                                                : kOtherZone;
    candidates.at(preference).push_back(&member);
  }
  const auto nearest =
      std::ranges::find_if(candidates, [](const auto& members) { return !members.empty(); });
  if (nearest == candidates.end()) return std::nullopt;
  const auto* chosen = nearest->at(random_.below(nearest->size()));
  const auto* other = nearest->at(random_.below(nearest->size()));
  if (inFlightAt(other->id) < inFlightAt(chosen->id)) chosen = other;
  return RelayPeer{chosen->id, listeners_.find(chosen->name)->second};
}

std::uint32_t RelayPeers::inFlightAt(base::NodeId peer) const {
  const auto found = inFlight_.find(peer);
  return found == inFlight_.end() ? 0 : found->second;
}

void RelayPeers::onEnded(base::NodeId peer) {
  const auto found = inFlight_.find(peer);
  if (found == inFlight_.end()) return;
  if (--found->second == 0) inFlight_.erase(found);
}

void RelayPeers::onPeerFailed(base::NodeId peer, base::TimePoint now) {
  std::erase_if(avoidedUntil_, [now](const auto& entry) { return now >= entry.second; });
  avoidedUntil_[peer] = now + options_.avoidPeerFor;
}

void RelayPeers::onReplicaUnreachable(base::NodeId peer, const std::string& instance,
                                      base::TimePoint now) {
  std::erase_if(replicaAvoidedUntil_, [now](const auto& entry) { return now >= entry.second; });
  replicaAvoidedUntil_[{peer, instance}] = now + options_.avoidReplicaFor;
}

}  // namespace covewing::routing
