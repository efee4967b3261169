#include "capacity/hollow_engine.h"

#include <algorithm>
#include <utility>

namespace covewing::capacity {

namespace {
/// Number of most recent events that an engine keeps. A node that requests older ones detects a
/// gap.
constexpr std::size_t kJournalEvents = 4096;
constexpr base::WeightsVersion kVersion = 1;
}  // namespace

HollowEngine::HollowEngine(sim::Network& network, HollowEngineOptions options, std::uint64_t seed)
    : scheduler_(network.scheduler()),
      options_(std::move(options)),
      process_(network.scheduler(), options_.name, seed),
      host_(network.addHost(process_, options_.endpoint, options_.zone, options_.region)),
      random_(base::mixHash(seed, base::hashName(options_.name))) {
  process_.start();
  lastUses_.reserve(options_.capacityBlocks + 1);
  while (lastUses_.size() < options_.capacityBlocks) store({random_.next()});
  // Blocks cached before the fleet starts are reported by a snapshot only, not as events.
  journal_.clear();
  generatedUntil_ = scheduler_.now();
}

clients::Machine HollowEngine::machine() const {
  clients::Machine machine;
  machine.name = options_.name;
  machine.kind = clients::MachineKind::kEngine;
  machine.endpoint = options_.endpoint;
  machine.zone = options_.zone;
  machine.region = options_.region;
  return machine;
}

void HollowEngine::setEventsPerSecond(double rate) {
  generateDueEvents();
  options_.eventsPerSecond = rate;
}

clients::EngineReport HollowEngine::reportHeader() const {
  clients::EngineReport report;
  report.incarnation = process_.incarnation();
  report.weights = {{options_.model, kVersion, {}}};
  report.load.running = running_;
  report.load.cachedBlocks = static_cast<std::uint32_t>(lastUses_.size());
  report.load.capacityBlocks = options_.capacityBlocks;
  report.nextSequence = nextSequence_;
  return report;
}

clients::EngineReport HollowEngine::report(std::uint64_t fromSequence) {
  generateDueEvents();
  auto report = reportHeader();
  const auto oldest = nextSequence_ - journal_.size();
  report.firstSequence = std::clamp(fromSequence, oldest, nextSequence_);
  const auto skipped = static_cast<std::ptrdiff_t>(report.firstSequence - oldest);
  report.events.assign(journal_.begin() + skipped, journal_.end());
  return report;
}

clients::EngineReport HollowEngine::snapshot() {
  generateDueEvents();
  auto report = reportHeader();
  report.firstSequence = nextSequence_;
  report.events.reserve(lastUses_.size());
  for (const auto& use : uses_) {
    const auto found = lastUses_.find(use.block);
    if (found == lastUses_.end() || found->second != use.stamp) continue;
    report.events.push_back({clients::CacheEventKind::kStored, use.block});
  }
  return report;
}

std::uint32_t HollowEngine::admit(const std::vector<base::BlockHash>& chain) {
  generateDueEvents();
  std::uint32_t matched = 0;
  while (matched < chain.size() && lastUses_.contains(chain[matched])) ++matched;
  // Stores the last block first, so that the chain is also evicted from its end.
  for (std::size_t index = chain.size(); index > 0; --index) store(chain[index - 1]);
  return matched;
}

void HollowEngine::generateDueEvents() {
  const auto now = scheduler_.now();
  dueEvents_ += base::toSeconds(now - generatedUntil_) * options_.eventsPerSecond / 2;
  generatedUntil_ = now;
  // The cache is full, so each stored block also evicts one: two events a block.
  for (; dueEvents_ >= 1; dueEvents_ -= 1) store({random_.next()});
}

void HollowEngine::store(base::BlockHash block) {
  if (lastUses_.contains(block)) return touch(block);
  touch(block);
  publish(clients::CacheEventKind::kStored, block);
  if (lastUses_.size() > options_.capacityBlocks) evictOldest();
}

void HollowEngine::touch(base::BlockHash block) {
  lastUses_[block] = nextStamp_;
  uses_.push_back({block, nextStamp_});
  ++nextStamp_;
}

void HollowEngine::evictOldest() {
  while (!uses_.empty()) {
    const Use use = uses_.front();
    uses_.pop_front();
    const auto found = lastUses_.find(use.block);
    if (found == lastUses_.end() || found->second != use.stamp) continue;
    lastUses_.erase(found);
    publish(clients::CacheEventKind::kEvicted, use.block);
    return;
  }
}

void HollowEngine::publish(clients::CacheEventKind kind, base::BlockHash block) {
  journal_.push_back({kind, block});
  ++nextSequence_;
  if (journal_.size() > kJournalEvents) journal_.pop_front();
}

}  // namespace covewing::capacity
