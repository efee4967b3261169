#include "routing/replica_selector.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace covewing::routing {

namespace {

/// Load added to a replica in another zone, in requests.
constexpr double kOtherZoneLoad = 0.5;

/// A hash is mapped to a number above 0 and below 1 with as many bits as a double can represent
/// exactly.
constexpr unsigned kDroppedBits = 11;
constexpr double kUniformStep = 1.0 / (static_cast<double>(1ULL << 53U) + 2);

bool contains(const std::vector<std::string>& instances, const ReplicaRecord& record) {
  return std::ranges::find(instances, record.facts().instance) != instances.end();
}

/// Weighted rendezvous hashing: a replica with twice the weight is the home replica of twice as
/// many parts.
template <class Weight>
void sortByRendezvous(std::vector<ReplicaRecordPtr>& candidates, std::uint64_t key,
                      const Weight& weight) {
  struct Scored {
    double score = 0;
    ReplicaRecordPtr record;
  };
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (auto& record : candidates) {
    const auto hash = base::mixHash(key, base::hashName(record->facts().instance));
    const double uniform = (static_cast<double>(hash >> kDroppedBits) + 1) * kUniformStep;
    const double score = weight(*record) / -std::log(uniform);
    scored.push_back({score, std::move(record)});
  }
  std::ranges::sort(scored, std::greater{}, &Scored::score);
  std::ranges::transform(scored, candidates.begin(),
                         [](Scored& one) { return std::move(one.record); });
}

/// Median of the candidates' speeds in hundredths; 0 if too few are known.
double medianSpeed(const std::vector<ReplicaRecordPtr>& candidates) {
  constexpr std::size_t kMinimumKnown = 3;
  std::vector<std::uint32_t> known;
  for (const auto& record : candidates)
    if (record->speedPercent() > 0) known.push_back(record->speedPercent());
  if (known.size() < kMinimumKnown) return 0;
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::ranges::nth_element(known, middle);
  return *middle;
}

bool rateLimited(const ReplicaRecordPtr& record) {
  return record->notices().rateLimit().perSecond().has_value();
}

base::TimePoint earliestBackOffEnd(const std::vector<ReplicaRecordPtr>& backingOff) {
  const auto first = std::ranges::min_element(
      backingOff, {}, [](const auto& record) { return record->notices().backOffUntil(); });
  return (*first)->notices().backOffUntil();
}

}  // namespace

std::string cacheSalt(base::WeightsVersion version, std::string_view partition) {
  std::string salt = "w" + std::to_string(version);
  salt.append(partition);
  return salt;
}

CacheScope cacheScope(std::string_view salt, std::string_view model) {
  return base::mixHash(base::hashName(salt), base::hashName(model));
}

bool ReplicaSelector::startsInTime(const ReplicaQuery& query, const ReplicaRecord& record,
                                   base::TimePoint now) const {
  // The margin of the deadline covers typical waits.
  const auto excess = std::max(record.expectedWait(now) - context_.targets.maximumStartDelay(),
                               base::Duration::zero());
  const auto oldest = context_.targets.oldestAllowed(query.model, now + excess);
  return record.versionOf(query.model) >= std::max<base::WeightsVersion>(oldest, 1);
}

ReplicaSelector::Candidates ReplicaSelector::eligible(const ReplicaQuery& query,
                                                      base::TimePoint now,
                                                      ReplicaDecision& decision) {
  auto& reason = decision.reason;
  const auto& listed = context_.replicas.ofService(query.service);
  Candidates allowed;
  Candidates backingOff;
  reason = listed.empty() ? "no replica is listed" : "every replica leaves or was tried";
  decision.softwareVersionGone = query.softwareVersion.has_value();
  for (const auto& record : listed) {
    if (!record->inService()) continue;
    if (query.softwareVersion && record->facts().softwareVersion != *query.softwareVersion)
      continue;
    decision.softwareVersionGone = false;
    if (!query.model.empty() && !startsInTime(query, *record, now)) {
      reason = "no replica has the version in force";
    } else if (record->notices().backingOff(now)) {
      // Includes replicas that have been tried: they are the ones that asked for the back-off.
      backingOff.push_back(record);
    } else if (!contains(query.excluded, *record)) {
      allowed.push_back(record);
    }
  }
  if (allowed.empty() && !backingOff.empty()) {
    reason = "every replica has asked this node for rest";
    decision.backOffEnds = earliestBackOffEnd(backingOff);
  }
  const auto keep = [&](auto predicate, std::string_view why) {
    if (allowed.empty()) return;
    std::erase_if(allowed, std::not_fn(predicate));
    if (allowed.empty()) reason = why;
  };
  const auto prefer = [&](auto predicate) {
    if (std::ranges::any_of(allowed, predicate)) std::erase_if(allowed, std::not_fn(predicate));
  };
  keep([&](const auto& record) { return !query.needsKnownVersion || !record->mayBeReplaced(now); },
       "every replica may have restarted with another software version");
  keep([&](const auto& record) { return !record->versionUncertain(now); },
       "the version of every replica is doubtful");
  keep([&](const auto& record) { return record->health().available(now); },
       "every replica is ejected or silent");
  keep([&](const auto& record) { return !record->notices().probing(); },
       "every replica has rested and is tried with one request");
  prefer([&](const auto& record) { return !record->atCapacity(now); });
  return allowed;
}

void ReplicaSelector::sortByLoad(Candidates& candidates) {
  const auto loadOf = [this](const ReplicaRecordPtr& record) {
    const bool inOwnZone = record->facts().zone == context_.zone;
    const double slots = std::max<double>(1, record->facts().slots);
    const double requests = record->inFlight() + (inOwnZone ? 0 : kOtherZoneLoad);
    return (requests + record->health().failureRate()) / slots;
  };
  // Shuffles first, so that replicas with equal load are in random order and not all nodes select
  // the same one.
  for (std::size_t left = candidates.size(); left > 1; --left)
    std::swap(candidates[left - 1], candidates[random_.below(left)]);
  std::ranges::stable_sort(candidates, {}, loadOf);
}

bool ReplicaSelector::isLoadKnown(std::size_t nodes, base::TimePoint now) const {
  if (context_.fleet.interval() > kMaximumUsefulLoadInterval) return false;
  const auto others = static_cast<double>(std::max<std::size_t>(nodes, 1) - 1);
  return static_cast<double>(context_.fleet.reportingNodes(now)) >=
         others * options_.minimumReportingShare;
}

ReplicaSelector::Bounds ReplicaSelector::boundsOf(const ReplicaRecord& record,
                                                  const ReplicaQuery& query, std::size_t nodes,
                                                  bool known) const {
  const auto slots = std::max<std::size_t>(record.facts().slots, 1);
  const auto memory = static_cast<double>(query.engine->cacheTokens);
  if (known) return {slots, memory * options_.knownMemoryShare};
  const auto sharers = std::max<std::size_t>(nodes, 1);
  const auto share = (slots + sharers - 1) / sharers;
  return {std::max<std::size_t>(options_.minimumRequests, share),
          memory * options_.memoryShare / static_cast<double>(sharers)};
}

std::size_t ReplicaSelector::firstWithCapacity(const Candidates& ordered, const ReplicaQuery& query,
                                               std::size_t nodes, base::TimePoint now) const {
  const bool known = isLoadKnown(nodes, now);
  const std::uint32_t own = query.tokens - std::min(query.tokens, query.chain->sharedTokens());
  std::size_t best = ordered.size();
  base::Duration shortest = base::Duration::max();
  for (std::size_t index = 0; index < ordered.size(); ++index) {
    const auto& record = *ordered[index];
    ReplicaLoad load = record.ownLoad();
    if (known)
      load += context_.fleet.loadOfOtherNodes(base::engineIdOf(record.facts().instance), now);
    const auto bounds = boundsOf(record, query, nodes, known);
    if (load.requests >= bounds.requests) continue;
    const bool fits = static_cast<double>(load.tokens + own) <= bounds.tokens;
    if (!fits && load.requests > 0) continue;
    const auto wait = record.prefillSpeed().minimumTime(load.pendingPrefillTokens);
    if (wait <= query.acceptableWait) return index;
    if (wait >= shortest) continue;
    shortest = wait;
    best = index;
  }
  return best;
}

std::optional<CacheSource> ReplicaSelector::bestSource(const ReplicaQuery& query, CacheScope scope,
                                                       const ReplicaRecord* except,
                                                       base::TimePoint now) {
  const auto tokensAt = [&](const std::string& name) {
    return context_.holders.matchedTokens(base::engineIdOf(name), scope, *query.chain);
  };
  std::optional<CacheSource> best;
  std::uint64_t ties = 0;
  const auto offer = [&](const std::string& name, const base::Endpoint& endpoint) {
    const auto tokens = tokensAt(name);
    const auto known = best ? best->tokens : 0;
    if (tokens == 0 || tokens < known) return;
    ties = tokens == known ? ties + 1 : 1;
    if (ties > 1 && random_.below(ties) != 0) return;
    best = CacheSource{name, endpoint, tokens};
  };
  for (const auto& record : context_.replicas.ofService(query.service)) {
    if (record.get() == except || record->terminated() || record->mayBeReplaced(now)) continue;
    if (record->health().ejected(now)) continue;
    offer(record->facts().instance, record->facts().endpoint);
  }
  for (const auto& store : context_.stores.all()) {
    if (store.available()) offer(store.name, store.endpoint);
  }
  const auto* savedTo = context_.stores.choose(*query.chain->deepestShared());
  if (savedTo == nullptr || !best || best->tokens >= query.chain->sharedTokens()) return best;
  const auto tokensAtStore = tokensAt(savedTo->name);
  if (tokensAtStore >= best->tokens)
    best = CacheSource{savedTo->name, savedTo->endpoint, tokensAtStore};
  return best;
}

void ReplicaSelector::addCacheTransfers(ReplicaDecision& decision, const ReplicaQuery& query,
                                        base::TimePoint now) {
  auto source = bestSource(query, decision.scope, decision.replica.get(), now);
  const auto shared = query.chain->sharedTokens();
  const auto held = std::max(decision.matchedTokens, source ? source->tokens : 0);
  if (source && source->tokens >= decision.matchedTokens + options_.minimumFetchTokens)
    decision.fetchFrom = std::move(source);
  if (held + options_.minimumFetchTokens > shared) return;
  const auto* store = context_.stores.choose(*query.chain->deepestShared());
  if (store == nullptr) return;
  decision.saveTo = store->endpoint;
  // A node that does not watch the store cannot know what it holds; an unsuccessful fetch costs
  // next to nothing.
  if (!decision.fetchFrom && !store->localAvailability)
    decision.fetchFrom = CacheSource{store->name, store->endpoint, decision.matchedTokens};
}

std::uint64_t longRunRank(std::string_view instance) {
  static const std::uint64_t kSalt = base::hashName("long-runs");
  return base::mixHash(base::hashName(instance), kSalt);
}

bool takesLongRunsBefore(std::string_view model, const ReplicaRecord& left,
                         const ReplicaRecord& right) {
  const auto leftVersion = left.versionOf(model);
  const auto rightVersion = right.versionOf(model);
  if (leftVersion != rightVersion) return leftVersion > rightVersion;
  return longRunRank(left.facts().instance) < longRunRank(right.facts().instance);
}

void ReplicaSelector::moveLongRunReplicasFirst(Candidates& candidates,
                                               const ReplicaQuery& query) const {
  if (candidates.size() < options_.minimumForLongRuns) return;
  Candidates ranked = candidates;
  std::ranges::sort(ranked, [&query](const auto& left, const auto& right) {
    return takesLongRunsBefore(query.model, *left, *right);
  });
  const auto count = std::clamp<std::size_t>(query.longRunReplicas, 1, candidates.size() / 2);
  ranked.resize(count);
  // clang 14 does not compile std::ranges::stable_partition.
  std::stable_partition(candidates.begin(), candidates.end(), [&ranked](const auto& record) {
    return std::ranges::find(ranked, record) != ranked.end();
  });
}

void ReplicaSelector::sortByHome(Candidates& candidates, const ReplicaQuery& query) const {
  base::WeightsVersion newest = 0;
  for (const auto& record : candidates) newest = std::max(newest, record->versionOf(query.model));
  const bool isLongPrompt = query.chain->sharedTokens() >= options_.ownZoneBelowTokens;
  const auto usualSpeed = isLongPrompt ? medianSpeed(candidates) : 0;
  const auto weight = [&](const ReplicaRecord& record) {
    const double ofVersion = record.versionOf(query.model) == newest ? options_.newestWeight : 1.0;
    return ofVersion * shareOfLongPrompts(record.speedPercent(), usualSpeed);
  };
  sortByRendezvous(candidates, *query.chain->deepestShared(), weight);
  if (query.longRun) {
    moveLongRunReplicasFirst(candidates, query);
  } else if (query.chain->sharedTokens() < options_.ownZoneBelowTokens) {
    moveOwnZoneFirst(candidates);
  }
}

void ReplicaSelector::moveOwnZoneFirst(Candidates& candidates) const {
  const auto otherZone = std::stable_partition(
      candidates.begin(), candidates.end(),
      [this](const ReplicaRecordPtr& record) { return record->facts().zone == context_.zone; });
  const auto last = std::min(options_.maximumPreferred, candidates.size()) - 1;
  const auto lastQueried = candidates.begin() + static_cast<std::ptrdiff_t>(last);
  if (otherZone != candidates.end() && otherZone > lastQueried)
    std::rotate(lastQueried, otherZone, otherZone + 1);
}

void ReplicaSelector::keepOneRateLimitedInFront(Candidates& candidates) {
  const auto first = std::ranges::find_if(candidates, rateLimited);
  if (first != candidates.end())
    std::stable_partition(first + 1, candidates.end(), std::not_fn(rateLimited));
}

std::string ReplicaSelector::saltOf(const ReplicaQuery& query, const ReplicaRecord& record) const {
  return cacheSalt(record.versionOf(query.model), query.cachePartition);
}

void ReplicaSelector::selectQueried(ReplicaDecision& decision, const Candidates& candidates) {
  const auto first = std::min(options_.maximumPreferred, candidates.size());
  const auto lastFirst = candidates.begin() + static_cast<std::ptrdiff_t>(first);
  decision.preferenceOrder.assign(candidates.begin(), lastFirst);
  decision.alternates = std::min(options_.alternates, candidates.size() - first);
  auto& order = decision.preferenceOrder;
  while (order.size() < first + decision.alternates) {
    const auto& drawn = candidates[first + random_.below(candidates.size() - first)];
    if (std::ranges::find(order, drawn) == order.end()) order.push_back(drawn);
  }
}

ReplicaDecision ReplicaSelector::choose(const ReplicaQuery& query, std::size_t nodes,
                                        base::TimePoint now) {
  ReplicaDecision decision;
  Candidates candidates = eligible(query, now, decision);
  if (candidates.empty()) return decision;
  if (query.withPrompt()) {
    sortByHome(candidates, query);
  } else {
    sortByLoad(candidates);
  }
  keepOneRateLimitedInFront(candidates);
  selectQueried(decision, candidates);
  chooseLocally(decision, std::move(candidates), query, nodes, now);
  return decision;
}

void ReplicaSelector::chooseLocally(ReplicaDecision& decision, Candidates candidates,
                                    const ReplicaQuery& query, std::size_t nodes,
                                    base::TimePoint now) {
  std::erase_if(candidates, [now](const auto& record) { return record->loadingWeights(now); });
  if (candidates.empty()) {
    decision.reason = "every replica is loading weights";
    return;
  }
  // Only the home of a rate-limited replica knows what the other nodes send there.
  std::erase_if(candidates, rateLimited);
  decision.candidates = candidates.size();
  if (candidates.empty()) {
    decision.reason = "every replica names a rate limit, and no home of theirs answers";
    return;
  }
  if (query.withPrompt()) decision.rank = firstWithCapacity(candidates, query, nodes, now);
  if (decision.rank == candidates.size()) {
    decision.reason = "every replica has as many requests as it should";
    return;
  }
  decision.replica = candidates[decision.rank];
  if (query.withPrompt()) {
    const auto replica = base::engineIdOf(decision.replica->facts().instance);
    const auto scope = cacheScope(saltOf(query, *decision.replica), query.model);
    decision.matchedTokens = context_.holders.matchedTokens(replica, scope, *query.chain);
  }
  complete(decision, query, now);
}

bool ReplicaSelector::allRateLimited(const ReplicaQuery& query, base::TimePoint now) {
  ReplicaDecision unused;
  const auto candidates = eligible(query, now, unused);
  return !candidates.empty() && std::ranges::all_of(candidates, rateLimited);
}

std::optional<ReplicaDecision> ReplicaSelector::decide(const ReplicaQuery& query,
                                                       const ReplicaRecordPtr& replica,
                                                       std::uint32_t matchedTokens,
                                                       base::TimePoint now) {
  ReplicaDecision decision;
  const auto candidates = eligible(query, now, decision);
  if (std::ranges::find(candidates, replica) == candidates.end()) return std::nullopt;
  decision.candidates = candidates.size();
  decision.replica = replica;
  decision.matchedTokens = matchedTokens;
  complete(decision, query, now);
  return decision;
}

void ReplicaSelector::complete(ReplicaDecision& decision, const ReplicaQuery& query,
                               base::TimePoint now) {
  if (query.model.empty()) return;
  decision.version = decision.replica->versionOf(query.model);
  decision.startDeadline = startDeadline(query.model, decision.version);
  decision.cacheSalt = saltOf(query, *decision.replica);
  decision.scope = cacheScope(decision.cacheSalt, query.model);
  if (query.withPrompt()) addCacheTransfers(decision, query, now);
}

PlacementCandidate ReplicaSelector::candidateOf(const ReplicaQuery& query,
                                                const ReplicaRecordPtr& replica,
                                                std::uint32_t promptTokens,
                                                std::uint32_t heldTokens) const {
  PlacementCandidate candidate;
  candidate.record = replica;
  candidate.work.slots = replica->facts().slots;
  if (!query.withPrompt()) return candidate;
  const auto id = base::engineIdOf(replica->facts().instance);
  candidate.scope = cacheScope(saltOf(query, *replica), query.model);
  const auto matched = context_.holders.matchedTokens(id, candidate.scope, *query.chain);
  candidate.work.tokens = query.tokens - std::min(query.tokens, matched);
  // Parts held elsewhere are fetched, which takes far less time than prefilling them.
  candidate.work.prefillTokens =
      promptTokens - std::min(promptTokens, std::max(matched, heldTokens));
  candidate.work.memory = static_cast<std::uint32_t>(
      static_cast<double>(query.engine->cacheTokens) * options_.knownMemoryShare);
  return candidate;
}

}  // namespace covewing::routing
