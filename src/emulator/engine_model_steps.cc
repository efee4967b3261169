// Steps of the engine model: who starts, what is computed, what is put out.
#include <algorithm>

#include "emulator/engine_model.h"
#include "emulator/expected_answer.h"
#include "prefix/prompt.h"

namespace covewing::emulator {

using clients::CacheEventKind;

void EngineModel::kick() {
  if (!up_ || paused_ || inStep_ || stepTimer_ != 0 || stalls_ > 0) return;
  if (running_.empty() && waitingCount() == 0) return;
  planStep();
}

std::uint32_t EngineModel::grantPrefill(Execution& execution, std::uint32_t budget) {
  if (execution.phase != Phase::kPrefilling || execution.prefillInStep > 0) return 0;
  const std::uint64_t granted = std::min<std::uint64_t>(budget, execution.prefillLeft);
  execution.prefillInStep = static_cast<std::uint32_t>(granted);
  return execution.prefillInStep;
}

std::uint32_t EngineModel::planClass(std::size_t priority, std::uint32_t budget, bool& memoryFull) {
  std::uint32_t granted = 0;
  for (const Index index : running_) {
    Execution& execution = executions_[index];
    if (static_cast<std::size_t>(execution.record.priority) != priority) continue;
    granted += grantPrefill(execution, budget - granted);
  }
  auto& queue = waiting_[priority];
  while (granted < budget && !queue.empty() && !memoryFull &&
         running_.size() < options_.maximumRunning) {
    const Index index = queue.front();
    Execution& execution = executions_[index];
    if (!admit(execution)) {
      memoryFull = true;
      break;
    }
    queue.pop_front();
    running_.push_back(index);
    if (execution.phase == Phase::kImporting) startImport(index);
    granted += grantPrefill(execution, budget - granted);
  }
  return granted;
}

void EngineModel::planStep() {
  std::uint32_t prefilling = 0;
  bool memoryFull = false;
  for (std::size_t priority = 0; priority < kClasses; ++priority) {
    prefilling += planClass(priority, options_.prefillTokensPerStep - prefilling, memoryFull);
  }
  std::uint32_t decoding = 0;
  for (const Index index : running_) {
    Execution& execution = executions_[index];
    execution.decodesInStep = execution.phase == Phase::kDecoding;
    if (execution.decodesInStep) ++decoding;
  }
  if (prefilling == 0 && decoding == 0) return;
  stepTimer_ = timers_.schedule(stepDuration(prefilling, decoding), [this] { stepTimerFired(); });
}

base::Duration EngineModel::stepDuration(std::uint32_t prefillTokens,
                                         std::uint32_t decoding) const {
  const StepCosts& step = options_.step;
  const base::Duration sum =
      step.base + step.perPrefillToken * prefillTokens + step.perDecodingSequence * decoding;
  if (step.speed == 1.0) return sum;
  return base::Duration{
      static_cast<base::Duration::rep>(static_cast<double>(sum.count()) / step.speed)};
}

std::uint32_t EngineModel::cachedLeadingBlocks(std::span<const base::BlockHash> chain) const {
  std::uint32_t count = 0;
  while (count < chain.size() && cache_.find(chain[count]) != BlockCache::kNoSlot) ++count;
  return count;
}

std::uint32_t EngineModel::importableBlocks(const Execution& execution, std::uint32_t local) const {
  if (surroundings_.keptCacheStore == nullptr || execution.importBlocks <= local) return 0;
  const std::size_t wanted = std::min<std::size_t>(execution.importBlocks, execution.chain.size());
  if (wanted <= local) return 0;
  const std::span<const base::BlockHash> chain = execution.chain;
  return surroundings_.keptCacheStore->leadingBlocks(chain.subspan(local, wanted - local));
}

bool EngineModel::admit(Execution& execution) {
  const std::uint32_t local = cachedLeadingBlocks(execution.chain);
  std::uint32_t toBePinned = 0;
  for (std::uint32_t block = 0; block < local; ++block) {
    if (!cache_.isPinned(cache_.find(execution.chain[block]))) ++toBePinned;
  }
  const std::uint32_t needed = blocksFor(execution.record.promptTokens + execution.length) - local;
  if (!cache_.canReserve(needed, toBePinned)) return false;
  for (std::uint32_t block = 0; block < local; ++block) {
    const BlockCache::Slot slot = cache_.find(execution.chain[block]);
    cache_.pin(slot);
    execution.pinned.push_back(slot);
  }
  cache_.reserve(needed, evicted_);
  noteEvicted();
  execution.reservedBlocks = needed;
  execution.localBlocks = local;
  execution.importedBlocks = importableBlocks(execution, local);
  execution.phase = Phase::kImporting;
  if (execution.importedBlocks == 0) startPrefill(execution);
  return true;
}

void EngineModel::startImport(Index index) {
  Execution& execution = executions_[index];
  const base::Duration time = surroundings_.keptCacheStore->transfer(execution.importedBlocks);
  const ExecutionId id = execution.record.execution;
  execution.importTimer = timers_.schedule(time, [this, id] {
    whenAwake([this, id] {
      if (find(id) != nullptr) finishImport(static_cast<Index>(id));
    });
  });
}

void EngineModel::finishImport(Index index) {
  Execution& execution = executions_[index];
  execution.importTimer = 0;
  KeptCacheStoreModel& store = *surroundings_.keptCacheStore;
  const std::uint32_t wanted = execution.importedBlocks;
  execution.importedBlocks = 0;
  for (std::uint32_t count = 0; count < wanted; ++count) {
    const base::BlockHash block = execution.chain[execution.pinned.size()];
    std::optional<BlockProvenance> provenance = store.provenance(block);
    // The store may have evicted it meanwhile: the rest is computed.
    if (!provenance) break;
    provenance->imported = true;
    const auto inserted = cache_.insertReserved(block, provenances_.indexOf(*provenance));
    --execution.reservedBlocks;
    execution.pinned.push_back(inserted.slot);
    ++execution.importedBlocks;
    if (inserted.isNew) noteStored(block);
  }
  startPrefill(execution);
  kick();
}

void EngineModel::startPrefill(Execution& execution) {
  const std::uint64_t reused = execution.pinned.size() * prefix::kTokensPerBlock;
  const std::uint64_t tokens = execution.record.promptTokens + execution.record.firstPosition;
  // The last token is always computed: its output is the first token of the answer.
  execution.prefillLeft = std::max<std::uint64_t>(1, tokens - reused);
  execution.phase = Phase::kPrefilling;
  if (surroundings_.observer == nullptr) return;
  const std::vector<BlockProvenance> provenances = reusedProvenances(execution);
  surroundings_.observer->onStarted(execution.record,
                                    ExecutionReuse{execution.chain, execution.localBlocks,
                                                   execution.importedBlocks, provenances});
}

std::vector<BlockProvenance> EngineModel::reusedProvenances(const Execution& execution) const {
  std::vector<std::uint32_t> indexes;
  for (const BlockCache::Slot slot : execution.pinned) {
    const std::uint32_t index = cache_.provenance(slot);
    if (!indexes.empty() && indexes.back() == index) continue;
    if (std::find(indexes.begin(), indexes.end(), index) == indexes.end()) indexes.push_back(index);
  }
  std::vector<BlockProvenance> provenances;
  provenances.reserve(indexes.size());
  for (const std::uint32_t index : indexes) provenances.push_back(provenances_.at(index));
  return provenances;
}

void EngineModel::stepTimerFired() {
  whenAwake([this] { completeStep(); });
}

void EngineModel::completeStep() {
  stepTimer_ = 0;
  inStep_ = true;
  const std::uint64_t epoch = epoch_;
  const std::size_t count = running_.size();
  for (std::size_t position = 0; position < count; ++position) {
    advance(running_[position]);
    if (epoch != epoch_) return;  // a handler crashed the engine
  }
  inStep_ = false;
  forgetFinished();
  sampleLoad();
  kick();
}

void EngineModel::advance(Index index) {
  Execution& execution = executions_[index];
  if (execution.phase == Phase::kDecoding && execution.decodesInStep) {
    putOut(index);
    return;
  }
  if (execution.phase != Phase::kPrefilling || execution.prefillInStep == 0) return;
  execution.prefillLeft -= execution.prefillInStep;
  execution.prefillInStep = 0;
  storeComputedBlocks(execution);
  if (execution.prefillLeft > 0) return;
  exportBlocks(execution);
  execution.phase = Phase::kDecoding;
  execution.decodesInStep = false;
  if (execution.position >= execution.length) {
    finish(index);
    return;
  }
  putOut(index);
}

void EngineModel::storeComputedBlocks(Execution& execution) {
  const std::uint64_t total = execution.record.promptTokens + execution.record.firstPosition;
  const std::uint64_t computed =
      std::min<std::uint64_t>(total - execution.prefillLeft, execution.record.promptTokens);
  const std::uint64_t whole =
      std::min<std::uint64_t>(computed / prefix::kTokensPerBlock, execution.chain.size());
  while (execution.pinned.size() < whole) {
    const base::BlockHash block = execution.chain[execution.pinned.size()];
    const auto inserted = cache_.insertReserved(block, execution.provenance);
    --execution.reservedBlocks;
    execution.pinned.push_back(inserted.slot);
    if (inserted.isNew) noteStored(block);
  }
}

void EngineModel::exportBlocks(Execution& execution) {
  if (execution.exportBlocks == 0 || surroundings_.keptCacheStore == nullptr) return;
  const std::size_t count = std::min<std::size_t>(execution.exportBlocks, execution.pinned.size());
  const std::span<const base::BlockHash> chain = execution.chain;
  const auto stored = surroundings_.keptCacheStore->store(chain.first(count),
                                                          provenances_.at(execution.provenance));
  for (const base::BlockHash block : stored) {
    journal_.append(CacheEventKind::kExported, block, clock_.now(), random_);
  }
}

void EngineModel::putOut(Index index) {
  Execution& execution = executions_[index];
  const ExecutionId id = execution.record.execution;
  clients::StreamChunk chunk{execution.position,
                             expectedToken(execution.record.promptHash, execution.position)};
  ++execution.position;
  if (surroundings_.observer != nullptr) surroundings_.observer->onChunk(execution.record, chunk);
  execution.handler->onChunk(std::move(chunk));
  if (find(id) == nullptr) return;  // cancelled by the handler
  if (execution.position >= execution.length) finish(index);
}

void EngineModel::finish(Index index) {
  Execution& execution = executions_[index];
  clients::EngineStreamHandler* handler = execution.handler;
  clients::StreamEnd end;
  end.promptTokens = execution.record.promptTokens;
  end.cachedTokens = (execution.localBlocks + execution.importedBlocks) *
                     static_cast<std::uint32_t>(prefix::kTokensPerBlock);
  end.outputTokens = static_cast<std::uint32_t>(execution.length);
  const bool natural = execution.length == expectedLength(execution.record.promptHash, 0);
  end.finishReason = natural ? "stop" : "length";
  release(index, ExecutionEnd::kComplete);
  handler->onEnd(std::move(end));
}

void EngineModel::releaseMemory(Execution& execution) {
  // The chain's end becomes the least recently used part, so that it is evicted before its start.
  while (!execution.pinned.empty()) {
    cache_.unpin(execution.pinned.back());
    execution.pinned.pop_back();
  }
  cache_.release(execution.reservedBlocks);
  execution.reservedBlocks = 0;
}

/// Running executions are only marked; `forgetFinished` takes them out.
void EngineModel::release(Index index, ExecutionEnd end) {
  Execution& execution = executions_[index];
  const bool wasAccepted = execution.record.execution == idOf(index);
  const bool wasRunning = std::find(running_.begin(), running_.end(), index) != running_.end();
  if (execution.importTimer != 0) timers_.cancel(execution.importTimer);
  execution.importTimer = 0;
  releaseMemory(execution);
  execution.chain.clear();
  execution.handler = nullptr;
  execution.prefillInStep = 0;
  execution.decodesInStep = false;
  execution.localBlocks = 0;
  execution.importedBlocks = 0;
  execution.phase = Phase::kOver;
  if (wasAccepted && surroundings_.observer != nullptr) {
    surroundings_.observer->onFinished(execution.record, end);
  }
  ++execution.generation;
  if (wasRunning) return;
  execution.phase = Phase::kFree;
  free_.push_back(index);
}

void EngineModel::forgetFinished() {
  if (inStep_) return;
  std::erase_if(running_, [this](Index index) {
    Execution& execution = executions_[index];
    if (execution.phase != Phase::kOver) return false;
    execution.phase = Phase::kFree;
    free_.push_back(index);
    return true;
  });
  if (unloading_) finishUnload();
}

// --- cache

void EngineModel::noteStored(base::BlockHash block) {
  journal_.append(CacheEventKind::kStored, block, clock_.now(), random_);
  if (surroundings_.observer != nullptr) surroundings_.observer->onBlockStored(id_, block);
}

void EngineModel::noteEvicted() {
  for (const base::BlockHash block : evicted_) {
    journal_.append(CacheEventKind::kEvicted, block, clock_.now(), random_);
    if (surroundings_.observer != nullptr) surroundings_.observer->onBlockEvicted(id_, block);
  }
  evicted_.clear();
}

}  // namespace covewing::emulator
