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

}  // namespace

CacheWatch::CacheWatch(CacheWatchOptions options, CacheWatchEnvironment environment,
                       WatcherLimit limit)
    : options_(options),
      environment_(environment),
      homes_(environment.members),
      limit_(std::move(limit)) {}

CacheWatch::~CacheWatch() {
  environment_.timers.cancel(reviewTimer_);
  for (const auto& [instance, watch] : watches_) environment_.timers.cancel(watch.timer);
}

void CacheWatch::start() { review(); }

std::optional<double> CacheWatch::rateLimitOf(const std::string& name) const {
  const auto record = environment_.replicas.find(name);
  return record ? record->notices().rateLimit().perSecond() : std::nullopt;
}

base::Duration CacheWatch::pauseFor(std::optional<double> rateLimit) const {
  if (!rateLimit) return options_.pause;
  return std::clamp(RatePacer::intervalOf(rateLimit) * options_.limitedIntervals,
                    options_.leastLimitedPause, options_.longestLimitedPause);
}

void CacheWatch::hastenUnlimited() {
  for (auto& [name, watch] : watches_) {
    if (!watch.limited || rateLimitOf(name)) continue;
    watch.limited = false;
    environment_.timers.cancel(watch.timer);
    poll(name, watch.number);
  }
}

CacheWatch::Wanted CacheWatch::wanted() const {
  Wanted wanted;
  for (const auto& [instance, record] : environment_.replicas.all()) {
    const auto& facts = record->facts();
    // What lists no model keeps no cache of prompts.
    if (facts.models.empty()) continue;
    const auto limit = limit_(facts.service);
    const bool watches =
        rateLimitOf(instance)
            ? homes_.isAmongFirst(base::engineIdOf(instance), facts.zone, 1) && limit > 0
            : isWatcher(instance, facts.zone, limit);
    if (watches) wanted.emplace(instance, Target{facts.endpoint, facts.zone, limit});
  }
  for (const auto& store : environment_.stores.all()) {
    if (isWatcher(store.name, {}, store.eventWatchers))
      wanted.emplace(store.name, Target{store.endpoint, {}, store.eventWatchers});
  }
  return wanted;
}

void CacheWatch::review() {
  const auto now = settled(wanted());
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (now.contains(watch->first)) {
      ++watch;
      continue;
    }
    environment_.timers.cancel(watch->second.timer);
    environment_.stores.clearLocalAvailability(watch->first);
    watch = watches_.erase(watch);
  }
  hastenUnlimited();
  for (const auto& [name, target] : now) {
    const auto [watch, added] = watches_.try_emplace(name);
    if (!added) continue;
    watch->second.number = ++lastNumber_;
    watch->second.endpoint = target.endpoint;
    watch->second.zone = target.zone;
    watch->second.limit = target.limit;
    poll(name, watch->second.number);
  }
  reviewTimer_ = environment_.timers.schedule(options_.review, [this] { review(); });
}

bool CacheWatch::isWatcher(const std::string& name, std::string_view zone,
                           std::uint32_t limit) const {
  if (environment_.members.liveMembers().size() <= limit) return true;
  const auto count = std::min(limit, options_.watchersOfEach);
  return homes_.isAmongFirst(base::engineIdOf(name), zone, count);
}

CacheWatch::Wanted CacheWatch::settled(const Wanted& wanted) {
  const auto now = environment_.clock.now();
  std::erase_if(inLineSince_, [&](const auto& entry) { return !wanted.contains(entry.first); });
  Wanted settled;
  for (const auto& [name, target] : wanted) {
    const auto since = inLineSince_.try_emplace(name, now).first->second;
    if (now - since >= options_.settle) settled.emplace(name, target);
  }
  return settled;
}

CacheWatch::Watch* CacheWatch::find(const std::string& name, std::uint64_t number) {
  const auto found = watches_.find(name);
  return found == watches_.end() || found->second.number != number ? nullptr : &found->second;
}

void CacheWatch::schedule(const std::string& name, Watch& watch, base::Duration delay) {
  watch.timer =
      environment_.timers.schedule(environment_.random.jittered(delay, kJitter),
                                   [this, name, number = watch.number] { poll(name, number); });
}

void CacheWatch::poll(const std::string& name, std::uint64_t number) {
  const Watch* watch = find(name, number);
  if (watch == nullptr) return;
  if (limitedCall_ && rateLimitOf(name)) limitedCall_(*environment_.replicas.find(name));
  const auto askedAt = environment_.clock.now();
  environment_.feed.poll(watch->endpoint, watch->since, options_.wait,
                         [this, name, number, askedAt,
                          alive = std::weak_ptr(lifetime_)](const clients::CacheFeedReply& reply) {
                           if (alive.expired()) return;
                           if (const auto replica = environment_.replicas.find(name))
                             learnNotices(*replica, askedAt, reply);
                           if (Watch* current = find(name, number)) onReply(name, *current, reply);
                         });
}

void CacheWatch::learnNotices(ReplicaRecord& replica, base::TimePoint askedAt,
                              const clients::CacheFeedReply& reply) const {
  const NoticeSource source{"cache events", 0, {}};
  if (reply.leaving) recordLeaving(replica, environment_.log, source);
  recordRateLimit(replica, environment_.log, {reply.rateLimit, askedAt, environment_.clock.now()},
                  source);
}

void CacheWatch::onReply(const std::string& name, Watch& watch,
                         const clients::CacheFeedReply& reply) {
  const auto rateLimit = rateLimitOf(name);
  const auto pause = pauseFor(rateLimit);
  watch.limited = rateLimit.has_value();
  environment_.stores.setLocalAvailability(name, reply.status == clients::CacheFeedStatus::kOk);
  if (reply.status != clients::CacheFeedStatus::kOk) {
    schedule(name, watch, std::max(options_.backoff, pause));
    return;
  }
  const auto holder = base::engineIdOf(name);
  const bool restarted = watch.epoch != 0 && watch.epoch != reply.epoch;
  if (restarted || reply.lost) environment_.holders.remove(holder);
  watch.epoch = reply.epoch;
  watch.since = reply.next;
  takeEvents(name, watch, reply);
  schedule(name, watch, pause);
}

void CacheWatch::takeEvents(const std::string& name, const Watch& watch,
                            const clients::CacheFeedReply& reply) {
  const auto holder = base::engineIdOf(name);
  const bool allWatch = environment_.members.liveMembers().size() <= watch.limit;
  const bool tells = changed_ && !allWatch && homes_.isAmongFirst(holder, watch.zone, 1);
  for (const auto& event : reply.events) {
    CacheChange change;
    change.holder = holder;
    change.scope = cacheScope(event.salt, event.model);
    change.part = prefix::partIdOf(event.part);
    change.currentTokens = event.tokens;
    if (tells)
      change.previousTokens = environment_.holders.tokensOf(holder, change.scope, change.part);
    environment_.holders.add(holder, change.scope, change.part, event.tokens);
    if (tells) changed_(change);
  }
}

}  // namespace covewing::routing
