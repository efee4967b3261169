#include "routing/cache_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "prefix/part_chain.h"
#include "routing/replica_choice.h"

namespace covewing::routing {

namespace {

constexpr double kJitter = 0.3;

}  // namespace

CacheWatch::CacheWatch(CacheWatchOptions options, CacheWatchEnvironment environment,
                       WatcherLimit limit)
    : options_(options), environment_(environment), limit_(std::move(limit)) {}

CacheWatch::~CacheWatch() {
  environment_.timers.cancel(reviewTimer_);
  for (const auto& [instance, watch] : watches_) environment_.timers.cancel(watch.timer);
}

void CacheWatch::start() { review(); }

void CacheWatch::review() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    const auto record = environment_.replicas.find(watch->first);
    if (record != nullptr && watches(*record)) {
      ++watch;
      continue;
    }
    environment_.timers.cancel(watch->second.timer);
    watch = watches_.erase(watch);
  }
  for (const auto& [instance, record] : environment_.replicas.all()) {
    if (watches_.contains(instance) || !watches(*record)) continue;
    watches_[instance];
    poll(instance);
  }
  reviewTimer_ = environment_.timers.schedule(options_.review, [this] { review(); });
}

bool CacheWatch::watches(const ReplicaRecord& record) const {
  const auto limit = limit_(record.facts().service);
  const auto& members = environment_.members.liveMembers();
  if (members.size() <= limit) return limit > 0;
  const auto replica = base::hashName(record.facts().instance);
  const auto own = base::mixHash(replica, environment_.members.self().id.value);
  const auto ahead = std::ranges::count_if(members, [&](const membership::Member& member) {
    return base::mixHash(replica, member.id.value) > own;
  });
  return static_cast<std::uint64_t>(ahead) < limit;
}

void CacheWatch::schedule(const std::string& instance, base::Duration delay) {
  watches_.at(instance).timer = environment_.timers.schedule(
      environment_.random.jittered(delay, kJitter), [this, instance] { poll(instance); });
}

void CacheWatch::poll(const std::string& instance) {
  const auto record = environment_.replicas.find(instance);
  if (record == nullptr) return;
  environment_.feed.poll(
      record->facts().endpoint, watches_.at(instance).since, options_.wait,
      [this, instance, alive = std::weak_ptr(lifetime_)](const clients::CacheFeedReply& reply) {
        if (!alive.expired() && watches_.contains(instance)) onReply(instance, reply);
      });
}

void CacheWatch::onReply(const std::string& instance, const clients::CacheFeedReply& reply) {
  if (reply.status != clients::CacheFeedStatus::kOk) {
    schedule(instance, options_.backoff);
    return;
  }
  auto& watch = watches_.at(instance);
  const auto replica = base::engineIdOf(instance);
  const bool restarted = watch.epoch != 0 && watch.epoch != reply.epoch;
  if (restarted || reply.lost) environment_.holders.forget(replica);
  watch.epoch = reply.epoch;
  watch.since = reply.next;
  for (const auto& event : reply.events) {
    environment_.holders.learn(replica, cacheScope(event.salt, event.model),
                               prefix::partIdOf(event.part), event.tokens);
  }
  schedule(instance, options_.pause);
}

}  // namespace covewing::routing
