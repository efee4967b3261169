#include "engine_routing/cache_index_home.h"

#include <algorithm>

namespace covewing::engine_routing {

namespace {

/// Resolution of the time stamps in the tables of requested and exported checkpoints. At this
/// resolution, 16 bits cover 18 hours.
constexpr base::Duration kStampUnit = std::chrono::seconds(1);
constexpr std::size_t kBytesPerSnapshotBlock = sizeof(std::uint64_t);
/// Older reports are no longer valid evidence of an engine's load and cache contents.
constexpr base::Duration kReportLifetime = std::chrono::seconds(5);
/// An engine without reports for this long has other homes by now and is no longer tracked here.
constexpr base::Duration kTrackingTimeout = std::chrono::seconds(30);
constexpr double kJitter = 0.2;

bool stillLoaded(const clients::LoadedWeights& before,
                 const std::vector<clients::LoadedWeights>& now) {
  return std::any_of(now.begin(), now.end(), [&](const clients::LoadedWeights& loaded) {
    return loaded.model == before.model && loaded.version == before.version;
  });
}

}  // namespace

CacheIndexHome::CacheIndexHome(CacheIndexHomeOptions options, CacheIndexHomeEnvironment environment)
    : options_(options), environment_(environment) {
  environment_.directory.addListener(*this);
}

CacheIndexHome::~CacheIndexHome() { environment_.directory.removeListener(*this); }

void CacheIndexHome::start() { scheduleMaintenance(); }

// --- lookups

CacheIndexHome::TrackedEngine* CacheIndexHome::find(ShortEngineId engine) {
  const auto found = trackedEngines_.find(engine);
  return found == trackedEngines_.end() ? nullptr : &found->second;
}

LookupReply CacheIndexHome::handleLookup(base::NodeId requester, const LookupRequest& request) {
  ++counters_.lookups;
  const auto now = environment_.clock.now();
  LookupReply reply;
  reply.lookupId = request.lookupId;
  reply.recentlyRequestedBlocks =
      matchedDepth(requested_, request.checkpoints, options_.recentRequestWindow);
  reply.exportedBlocks = matchedDepth(exported_, request.checkpoints, options_.exportRetention);
  for (const auto engine : request.engines) reply.entries.push_back(entryFor(engine, request));
  for (const auto fingerprint : request.checkpoints.fingerprints) {
    requested_.insert(fingerprint, stampOf(now));
  }
  lookups_.push_back(
      {requester, request.lookupId, now + options_.lookupRetention, request.checkpoints});
  return reply;
}

LookupEntry CacheIndexHome::entryFor(ShortEngineId engine, const LookupRequest& request) {
  LookupEntry entry;
  entry.engine = engine;
  TrackedEngine* tracked = find(engine);
  if (tracked == nullptr) return entry;
  const EngineState* state = environment_.directory.find(tracked->id);
  const auto now = environment_.clock.now();
  if (state == nullptr || state->unreachable || now - tracked->reportedAt > kReportLifetime)
    return entry;
  const auto match = tracked->index.match(request.checkpoints);
  entry.known = true;
  entry.doubtful = match.doubtful;
  entry.matchedBlocks = match.blocks;
  entry.tokensAhead = tokensAhead(*tracked, request, match.blocks);
  entry.requests = tracked->queue.requests();
  entry.incarnation = state->incarnation;
  return entry;
}

std::uint32_t CacheIndexHome::tokensAhead(TrackedEngine& tracked, const LookupRequest& request,
                                          std::uint32_t matchedBlocks) const {
  double tokens =
      static_cast<double>(tracked.queue.tokensAhead(request.priority, environment_.clock.now()));
  if (request.checkpoints.fingerprints.empty()) return static_cast<std::uint32_t>(tokens);
  tracked.memory.keepLatest(tracked.queue.requests());
  const auto missing =
      tracked.memory.missingBlocks(footprintOf(request.checkpoints, matchedBlocks));
  if (missing > 0)
    tokens += options_.memoryWaitTokens + options_.memoryWaitTokensPerBlock * missing;
  return static_cast<std::uint32_t>(tokens);
}

std::uint32_t CacheIndexHome::matchedDepth(const prefix::BlockTable& table,
                                           const prefix::Checkpoints& checkpoints,
                                           base::Duration retention) const {
  const auto now = stampOf(environment_.clock.now());
  for (std::size_t index = checkpoints.fingerprints.size(); index-- > 0;) {
    const auto stamp = table.find(checkpoints.fingerprints[index]);
    if (!stamp) continue;
    const auto age = kStampUnit * static_cast<prefix::BlockTable::Mark>(now - *stamp);
    if (age <= retention) return checkpoints.depth(index);
  }
  return 0;
}

void CacheIndexHome::onDispatch(base::NodeId router, const DispatchNotice& notice) {
  TrackedEngine* tracked = find(notice.engine);
  if (tracked == nullptr) return;
  const auto now = environment_.clock.now();
  tracked->queue.onDispatched(notice.priority, notice.uncachedTokens, now);
  const auto lookup =
      std::find_if(lookups_.begin(), lookups_.end(), [&](const PendingLookup& pending) {
        return pending.requester == router && pending.lookupId == notice.lookupId;
      });
  if (lookup == lookups_.end()) return;
  const auto matched = tracked->index.match(lookup->checkpoints).blocks;
  tracked->memory.onDispatched(footprintOf(lookup->checkpoints, matched));
  tracked->index.announce(lookup->checkpoints, now);
}

// --- reports

void CacheIndexHome::onReport(const EngineState& engine, const clients::EngineReport& report) {
  const auto shortId = shortIdOf(engine.address.id);
  const auto now = environment_.clock.now();
  auto [position, added] = trackedEngines_.try_emplace(
      shortId, TrackedEngine{engine.address.id, report.weights, EngineCacheIndex(options_.index),
                             QueueEstimate(options_.queue), MemoryEstimate{}, now});
  TrackedEngine& tracked = position->second;
  dropOnWeightsChange(tracked, engine);
  tracked.reportedAt = now;
  tracked.queue.onReport(report.load, now);
  tracked.memory.setCapacity(report.load.capacityBlocks);
  recordExports(report);
  if (tracked.index.apply(report, now) || added) return;
  ++counters_.gaps;
  environment_.log.write(base::Event::kCacheEventGap, {{"engine", engine.address.name}});
}

void CacheIndexHome::dropOnWeightsChange(TrackedEngine& tracked, const EngineState& engine) {
  const bool removed = std::any_of(
      tracked.weights.begin(), tracked.weights.end(),
      [&](const clients::LoadedWeights& before) { return !stillLoaded(before, engine.weights); });
  tracked.weights = engine.weights;
  if (removed) tracked.index.clear();
}

void CacheIndexHome::recordExports(const clients::EngineReport& report) {
  const auto stamp = stampOf(environment_.clock.now());
  for (const auto& event : report.events) {
    if (event.kind != clients::CacheEventKind::kExported) continue;
    exported_.insert(prefix::fingerprintOf(event.block), stamp);
  }
}

void CacheIndexHome::onRestarted(const EngineState& engine) {
  TrackedEngine* tracked = find(shortIdOf(engine.address.id));
  if (tracked == nullptr) return;
  tracked->index.clear();
  tracked->queue.clear();
  tracked->memory.clear();
}

void CacheIndexHome::onForgotten(base::EngineId engine) {
  trackedEngines_.erase(shortIdOf(engine));
}

// --- maintenance

void CacheIndexHome::scheduleMaintenance() {
  const auto delay = environment_.random.jittered(options_.maintenanceInterval, kJitter);
  environment_.timers.schedule(delay, [this, alive = std::weak_ptr(lifetime_)] {
    if (alive.expired()) return;
    maintain();
    scheduleMaintenance();
  });
}

void CacheIndexHome::maintain() {
  const auto now = environment_.clock.now();
  std::erase_if(trackedEngines_, [&](const auto& entry) {
    return now - entry.second.reportedAt > kTrackingTimeout;
  });
  for (auto& [shortId, tracked] : trackedEngines_) tracked.index.expire(now);
  expireTables(now);
  if (!resyncOutstanding_ && now >= nextResync_) startResync();
}

void CacheIndexHome::expireTables(base::TimePoint now) {
  while (!lookups_.empty() && lookups_.front().expiry <= now) lookups_.pop_front();
  const auto stamp = stampOf(now);
  const auto expire = [&](prefix::BlockTable& table, base::Duration retention) {
    table.eraseIf([&](prefix::BlockTable::Mark mark) {
      return kStampUnit * static_cast<prefix::BlockTable::Mark>(stamp - mark) > retention;
    });
  };
  expire(requested_, options_.recentRequestWindow);
  expire(exported_, options_.exportRetention);
}

void CacheIndexHome::startResync() {
  for (auto& [shortId, tracked] : trackedEngines_) {
    const EngineState* state = environment_.directory.find(tracked.id);
    if (!tracked.index.resyncDue() || state == nullptr || state->unreachable) continue;
    // Until a starting node has discovered the other members, it considers itself the home of
    // engines that belong to other homes.
    if (!environment_.directory.polls(tracked.id)) continue;
    resyncOutstanding_ = true;
    environment_.engines.snapshot(state->address,
                                  [this, engine = shortId, alive = std::weak_ptr(lifetime_)](
                                      const std::optional<clients::EngineReport>& snapshot) {
                                    if (!alive.expired()) onSnapshot(engine, snapshot);
                                  });
    return;
  }
}

void CacheIndexHome::onSnapshot(ShortEngineId engine,
                                const std::optional<clients::EngineReport>& snapshot) {
  resyncOutstanding_ = false;
  const auto now = environment_.clock.now();
  nextResync_ = now + options_.maintenanceInterval;
  TrackedEngine* tracked = find(engine);
  if (!snapshot || tracked == nullptr) return;
  const auto bytes = snapshot->events.size() * kBytesPerSnapshotBlock;
  const double pause = static_cast<double>(bytes) / options_.resyncBytesPerSecond;
  nextResync_ =
      now + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(pause));
  const EngineState* state = environment_.directory.find(tracked->id);
  if (state == nullptr || state->incarnation != snapshot->incarnation) return;
  tracked->index.resync(*snapshot);
  ++counters_.resyncs;
  counters_.resyncBytes += bytes;
  environment_.log.write(base::Event::kCacheResynced, {{"engine", state->address.name}});
}

prefix::BlockTable::Mark CacheIndexHome::stampOf(base::TimePoint time) const {
  return static_cast<prefix::BlockTable::Mark>(time.time_since_epoch() / kStampUnit);
}

std::size_t CacheIndexHome::entries() const {
  std::size_t count = 0;
  for (const auto& [shortId, tracked] : trackedEngines_) count += tracked.index.entries();
  return count;
}

std::size_t CacheIndexHome::memoryBytes() const {
  std::size_t bytes = requested_.memoryBytes() + exported_.memoryBytes();
  for (const auto& [shortId, tracked] : trackedEngines_) bytes += tracked.index.memoryBytes();
  return bytes;
}

}  // namespace covewing::engine_routing
