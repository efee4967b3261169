#include "routing/cache_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "prefix/part_chain.h"
#include "routing/rate_pacer.h"
#include "routing/replica_selector.h"

namespace covewing::routing {

namespace {

constexpr double kJitter = 0.3;
/// Name of the polls in logs.
constexpr std::string_view kCallName = "cache events";

std::string addressOf(const clients::CacheFeedTarget& target) {
  return std::visit([](const auto& one) { return base::toString(one.endpoint()); }, target);
}

}  // namespace

CacheWatch::CacheWatch(CacheWatchOptions options, CacheWatchEnvironment environment,
                       WatcherLimit limit)
    : options_(options),
      environment_(environment),
      homes_(environment.members),
      watcherLimit_(std::move(limit)) {}

CacheWatch::~CacheWatch() {
  environment_.timers.cancel(reviewTimer_);
  for (const auto& [instance, watch] : watches_) environment_.timers.cancel(watch.timer);
}

void CacheWatch::start() { review(); }

std::optional<double> CacheWatch::rateLimitOf(const std::string& name) const {
  const auto record = environment_.replicas.find(name);
  return record ? record->notices().rateLimit().perSecond() : std::nullopt;
}

base::Duration CacheWatch::delayFor(std::optional<double> rateLimit) const {
  if (!rateLimit) return options_.pollDelay;
  return std::clamp(RatePacer::intervalOf(rateLimit) * options_.rateLimitIntervals,
                    options_.minimumRateLimitedDelay, options_.maximumRateLimitedDelay);
}

void CacheWatch::pollNoLongerLimited() {
  for (auto& [name, watch] : watches_) {
    if (!watch.rateLimited || rateLimitOf(name)) continue;
    watch.rateLimited = false;
    environment_.timers.cancel(watch.timer);
    poll(name, watch.id);
  }
}

CacheWatch::Targets CacheWatch::selectTargets() const {
  Targets targets;
  for (const auto& [instance, record] : environment_.replicas.all()) {
    const auto& facts = record->facts();
    // A replica that lists no models has no prompt cache.
    if (facts.models.empty() || record->terminated()) continue;
    const auto limit = watcherLimit_(facts.service);
    const bool watches =
        rateLimitOf(instance)
            ? homes_.isAmongFirst(base::engineIdOf(instance), facts.zone, 1) && limit > 0
            : shouldWatch(instance, facts.zone, limit);
    if (watches) targets.emplace(instance, Target{targetOf(facts), facts.zone, limit});
  }
  for (const auto& store : environment_.stores.all()) {
    if (shouldWatch(store.name, {}, store.eventWatchers))
      targets.emplace(store.name,
                      Target{clients::CacheStoreTarget{store.endpoint}, {}, store.eventWatchers});
  }
  return targets;
}

bool CacheWatch::isListed(const std::string& name, const Watch& watch) const {
  const auto& receiver = watch.target.receiver;
  if (const auto* watched = std::get_if<clients::ReplicaTarget>(&receiver)) {
    const auto record = environment_.replicas.find(name);
    return record && !record->terminated() && targetOf(record->facts()) == *watched;
  }
  const auto* store = std::as_const(environment_.stores).find(name);
  return store != nullptr && clients::CacheStoreTarget{store->endpoint} ==
                                 std::get<clients::CacheStoreTarget>(receiver);
}

void CacheWatch::endUnlisted() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (isListed(watch->first, watch->second)) {
      ++watch;
    } else {
      watch = end(watch, "it has ended or is not listed any more");
    }
  }
}

void CacheWatch::review() {
  endUnlisted();
  const auto stable = stableTargets(selectTargets());
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (stable.contains(watch->first)) {
      ++watch;
    } else {
      watch = end(watch, "it is not to be watched by this node any more");
    }
  }
  pollNoLongerLimited();
  for (const auto& [name, target] : stable) begin(name, target);
  reviewTimer_ = environment_.timers.schedule(options_.reviewInterval, [this] { review(); });
}

void CacheWatch::begin(const std::string& name, const Target& target) {
  const auto [watch, added] = watches_.try_emplace(name, target);
  if (!added) return;
  watch->second.id = ++lastWatchId_;
  environment_.log.write(base::Event::kCacheWatchStarted,
                         {{"target", name}, {"address", addressOf(target.receiver)}});
  poll(name, watch->second.id);
}

CacheWatch::Watches::iterator CacheWatch::end(Watches::iterator watch, std::string_view why) {
  const auto& [name, ended] = *watch;
  environment_.log.write(base::Event::kCacheWatchEnded,
                         {{"target", name},
                          {"address", addressOf(ended.target.receiver)},
                          {"why", std::string{why}},
                          {"polls", std::to_string(ended.polls)}});
  environment_.timers.cancel(ended.timer);
  environment_.stores.clearLocalAvailability(name);
  return watches_.erase(watch);
}

bool CacheWatch::shouldWatch(const std::string& name, std::string_view zone,
                             std::uint32_t limit) const {
  if (environment_.members.liveMembers().size() <= limit) return true;
  const auto count = std::min(limit, options_.watchersPerTarget);
  return homes_.isAmongFirst(base::engineIdOf(name), zone, count);
}

CacheWatch::Targets CacheWatch::stableTargets(const Targets& targets) {
  const auto now = environment_.clock.now();
  std::erase_if(eligibleSince_, [&](const auto& entry) { return !targets.contains(entry.first); });
  Targets stable;
  for (const auto& [name, target] : targets) {
    const auto since = eligibleSince_.try_emplace(name, now).first->second;
    if (now - since >= options_.eligibilityDelay) stable.emplace(name, target);
  }
  return stable;
}

CacheWatch::Watch* CacheWatch::find(const std::string& name, std::uint64_t watchId) {
  const auto found = watches_.find(name);
  return found == watches_.end() || found->second.id != watchId ? nullptr : &found->second;
}

void CacheWatch::schedule(const std::string& name, Watch& watch, base::Duration delay) {
  watch.timer =
      environment_.timers.schedule(environment_.random.jittered(delay, kJitter),
                                   [this, name, watchId = watch.id] { poll(name, watchId); });
}

void CacheWatch::poll(const std::string& name, std::uint64_t watchId) {
  Watch* watch = find(name, watchId);
  if (watch == nullptr) return;
  if (!isListed(name, *watch)) {
    end(watches_.find(name), "it has ended");
    return;
  }
  if (pollListener_ && rateLimitOf(name)) pollListener_(*environment_.replicas.find(name));
  const auto sentAt = environment_.clock.now();
  ++watch->polls;
  watch->call =
      environment_.feed.poll(watch->target.receiver, watch->since, options_.longPollTimeout,
                             [this, name, watchId, sentAt, alive = std::weak_ptr(lifetime_)](
                                 const clients::CacheFeedReply& reply) {
                               if (!alive.expired()) onPolled(name, watchId, sentAt, reply);
                             });
}

void CacheWatch::onPolled(const std::string& name, std::uint64_t watchId, base::TimePoint sentAt,
                          const clients::CacheFeedReply& reply) {
  Watch* watch = find(name, watchId);
  if (watch == nullptr) return;
  // What is said at a former address says nothing of a replica that is listed at another one.
  if (!isListed(name, *watch)) {
    endUnlisted();
    return;
  }
  if (reply.status == clients::CacheFeedStatus::kOtherInstance || isOfNextInstance(*watch, reply)) {
    onOtherInstance(name, reply.responder);
    return;
  }
  if (const auto replica = environment_.replicas.find(name)) {
    recordNotices(*replica, sentAt, reply);
    const bool unanswered =
        reply.status == clients::CacheFeedStatus::kUnavailable && reply.responder.status == 0;
    if (unanswered && unansweredListener_) unansweredListener_(replica);
  }
  onReply(name, *watch, reply);
}

void CacheWatch::recordNotices(ReplicaRecord& replica, base::TimePoint sentAt,
                               const clients::CacheFeedReply& reply) const {
  const NoticeSource source{kCallName, 0, {}};
  if (reply.leaving) recordLeaving(replica, environment_.log, source);
  recordRateLimit(replica, environment_.log, {reply.rateLimit, sentAt, environment_.clock.now()},
                  source);
}

void CacheWatch::onReply(const std::string& name, Watch& watch,
                         const clients::CacheFeedReply& reply) {
  const auto rateLimit = rateLimitOf(name);
  const auto delay = delayFor(rateLimit);
  watch.rateLimited = rateLimit.has_value();
  environment_.stores.setLocalAvailability(name, reply.status == clients::CacheFeedStatus::kOk);
  if (reply.status != clients::CacheFeedStatus::kOk) {
    logFailure(name, watch, reply);
    schedule(name, watch, std::max(options_.backOff, delay));
    return;
  }
  watch.failing = false;
  const auto holder = base::engineIdOf(name);
  const bool restarted = watch.epoch != 0 && watch.epoch != reply.epoch;
  if (restarted || reply.lost) environment_.holders.remove(holder);
  watch.epoch = reply.epoch;
  watch.since = reply.next;
  applyEvents(name, watch, reply);
  schedule(name, watch, delay);
}

bool CacheWatch::isOfNextInstance(const Watch& watch, const clients::CacheFeedReply& reply) {
  if (reply.status != clients::CacheFeedStatus::kOk || watch.epoch == 0) return false;
  const bool isReplica = std::holds_alternative<clients::ReplicaTarget>(watch.target.receiver);
  return isReplica && watch.epoch != reply.epoch;
}

void CacheWatch::onOtherInstance(const std::string& name, const clients::Responder& responder) {
  if (const auto replica = environment_.replicas.find(name))
    recordOtherInstance(*replica, environment_.log, environment_.clock.now(), kCallName, responder);
  environment_.holders.remove(base::engineIdOf(name));
  endUnlisted();
}

void CacheWatch::logFailure(const std::string& name, Watch& watch,
                            const clients::CacheFeedReply& reply) {
  if (std::exchange(watch.failing, true)) return;
  environment_.log.write(base::Event::kCacheWatchFailing,
                         {{"target", name},
                          {"address", addressOf(watch.target.receiver)},
                          {"request", reply.responder.callId},
                          {"status", std::to_string(reply.responder.status)}});
}

void CacheWatch::applyEvents(const std::string& name, const Watch& watch,
                             const clients::CacheFeedReply& reply) {
  const auto holder = base::engineIdOf(name);
  const bool allWatch = environment_.members.liveMembers().size() <= watch.target.limit;
  const bool notifies =
      changeListener_ && !allWatch && homes_.isAmongFirst(holder, watch.target.zone, 1);
  for (const auto& event : reply.events) {
    CacheChange change;
    change.holder = holder;
    change.scope = cacheScope(event.salt, event.model);
    change.part = prefix::partIdOf(event.part);
    change.currentTokens = event.tokens;
    if (notifies)
      change.previousTokens = environment_.holders.tokensOf(holder, change.scope, change.part);
    environment_.holders.add(holder, change.scope, change.part, event.tokens);
    if (notifies) changeListener_(change);
  }
}

}  // namespace covewing::routing
