#include "engine_routing/cache_lookup_client.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace covewing::engine_routing {

CacheLookupClient::CacheLookupClient(CacheLookupOptions options, CacheLookupEnvironment environment)
    : options_(options),
      environment_(environment),
      budget_(options.burstBytes),
      budgetAt_(environment.clock.now()) {}

CacheLookupClient::~CacheLookupClient() = default;

// --- queries

bool CacheLookupClient::isBackingOff(base::NodeId home) const {
  const auto found = backOffUntil_.find(home);
  return found != backOffUntil_.end() && environment_.clock.now() < found->second;
}

std::optional<base::NodeId> CacheLookupClient::homeToQuery(base::EngineId engine) const {
  if (options_.localIndexOnly) return environment_.members.self().id;
  const auto homes = environment_.directory.homes(engine);
  for (const auto home : homes) {
    if (!isBackingOff(home)) return home;
  }
  return std::nullopt;
}

CacheLookupClient::EnginesByHome CacheLookupClient::groupByHome(
    const std::vector<base::EngineId>& engines) const {
  EnginesByHome grouped;
  for (const auto engine : engines) {
    if (const auto home = homeToQuery(engine)) grouped[*home].push_back(shortIdOf(engine));
  }
  return grouped;
}

void CacheLookupClient::lookup(base::PriorityClass priority,
                               const std::vector<base::EngineId>& engines,
                               const prefix::Checkpoints& checkpoints, LookupCallback callback) {
  ++counters_.lookups;
  const std::uint64_t lookupId = ++lastLookupId_;
  Pending pending;
  pending.result.lookupId = lookupId;
  pending.callback = std::move(callback);
  for (const auto engine : engines) {
    EngineLookupResult engineResult;
    engineResult.engine = engine;
    pending.result.engines.push_back(engineResult);
  }
  LookupRequest request;
  request.lookupId = lookupId;
  request.priority = priority;
  request.checkpoints = checkpoints;
  const auto self = environment_.members.self().id;
  for (auto& [home, shortIds] : groupByHome(engines)) {
    request.engines = std::move(shortIds);
    if (home == self) {
      merge(pending.result, environment_.home.handleLookup(self, request));
      continue;
    }
    const membership::Member* member = environment_.members.find(home);
    std::string payload = encode(request);
    if (member == nullptr || !consumeBudget(payload.size())) continue;
    send(*member, std::move(payload));
    pending.awaitedHomes.push_back(home);
  }
  if (pending.awaitedHomes.empty()) {
    pending.callback(std::move(pending.result));
    return;
  }
  pending.timer = environment_.timers.schedule(options_.timeout,
                                               [this, lookupId, alive = std::weak_ptr(lifetime_)] {
                                                 if (!alive.expired()) onTimeout(lookupId);
                                               });
  pending_.emplace(lookupId, std::move(pending));
}

void CacheLookupClient::announce(std::uint64_t lookupId, base::EngineId engine,
                                 base::PriorityClass priority, std::uint32_t uncachedTokens) {
  const DispatchNotice notice{lookupId, shortIdOf(engine), priority, uncachedTokens};
  const auto self = environment_.members.self().id;
  environment_.home.onDispatch(self, notice);
  const auto home = homeToQuery(engine);
  if (!home || *home == self) return;
  const membership::Member* member = environment_.members.find(*home);
  std::string payload = encode(notice);
  if (member != nullptr && consumeBudget(payload.size())) send(*member, std::move(payload));
}

bool CacheLookupClient::consumeBudget(std::size_t bytes) {
  const auto now = environment_.clock.now();
  budget_ += options_.bytesPerSecond * base::toSeconds(now - budgetAt_);
  budget_ = std::min(budget_, options_.burstBytes);
  budgetAt_ = now;
  if (budget_ < static_cast<double>(bytes)) {
    ++counters_.overBudget;
    return false;
  }
  budget_ -= static_cast<double>(bytes);
  return true;
}

void CacheLookupClient::send(const membership::Member& destination, std::string payload) {
  ++counters_.messagesSent;
  counters_.bytesSent += payload.size();
  environment_.peers.send(destination.endpoint, base::Channel::kCacheIndex, std::move(payload));
}

// --- replies

void CacheLookupClient::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  counters_.bytesReceived += payload.size();
  const auto message = decodeCacheMessage(payload);
  if (!message) {
    ++counters_.malformed;
    return;
  }
  if (const auto* request = std::get_if<LookupRequest>(&*message)) {
    std::string reply = encode(environment_.home.handleLookup(sender.node, *request));
    ++counters_.messagesSent;
    counters_.bytesSent += reply.size();
    environment_.peers.send(sender.endpoint, base::Channel::kCacheIndex, std::move(reply));
  } else if (const auto* reply = std::get_if<LookupReply>(&*message)) {
    onReply(sender.node, *reply);
  } else if (const auto* notice = std::get_if<DispatchNotice>(&*message)) {
    environment_.home.onDispatch(sender.node, *notice);
  }
}

void CacheLookupClient::onReply(base::NodeId home, const LookupReply& reply) {
  backOffUntil_.erase(home);
  const auto found = pending_.find(reply.lookupId);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  const auto awaited = std::find(pending.awaitedHomes.begin(), pending.awaitedHomes.end(), home);
  if (awaited == pending.awaitedHomes.end()) return;
  pending.awaitedHomes.erase(awaited);
  merge(pending.result, reply);
  if (pending.awaitedHomes.empty()) finish(reply.lookupId);
}

void CacheLookupClient::merge(LookupResult& result, const LookupReply& reply) const {
  result.recentlyRequestedBlocks =
      std::max(result.recentlyRequestedBlocks, reply.recentlyRequestedBlocks);
  result.exportedBlocks = std::max(result.exportedBlocks, reply.exportedBlocks);
  for (const auto& entry : reply.entries) {
    if (!entry.known) continue;
    for (auto& engineResult : result.engines) {
      if (shortIdOf(engineResult.engine) != entry.engine) continue;
      engineResult.known = true;
      engineResult.doubtful = entry.doubtful;
      engineResult.matchedBlocks = entry.matchedBlocks;
      engineResult.tokensAhead = entry.tokensAhead;
      engineResult.requests = entry.requests;
      engineResult.incarnation = entry.incarnation;
    }
  }
}

void CacheLookupClient::onTimeout(std::uint64_t lookupId) {
  const auto found = pending_.find(lookupId);
  if (found == pending_.end()) return;
  ++counters_.timeouts;
  for (const auto home : found->second.awaitedHomes) {
    backOffUntil_[home] = environment_.clock.now() + options_.unresponsiveHomeBackOff;
  }
  finish(lookupId);
}

void CacheLookupClient::finish(std::uint64_t lookupId) {
  auto node = pending_.extract(lookupId);
  Pending& pending = node.mapped();
  environment_.timers.cancel(pending.timer);
  pending.callback(std::move(pending.result));
}

}  // namespace covewing::engine_routing
