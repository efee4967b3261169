#include "emulator/engine_model.h"

#include <algorithm>
#include <utility>

#include "emulator/expected_answer.h"
#include "prefix/prompt.h"

namespace covewing::emulator {

using base::Reason;
using base::ResultCode;
using clients::DispatchError;
using clients::DispatchFailure;
using clients::EngineRequest;

namespace {
constexpr unsigned kGenerationShift = 32;
}  // namespace

EngineModel::EngineModel(const EngineModelOptions& options, const EngineSurroundings& surroundings,
                         const base::Clock& clock, base::TimerService& timers,
                         base::RandomSource& random)
    : options_(options),
      surroundings_(surroundings),
      clock_(clock),
      timers_(timers),
      random_(random),
      id_(base::engineIdOf(options.name)),
      role_(options.role),
      incarnation_(options.firstIncarnation),
      weights_(options.weights, surroundings.weightStore, options.adapterShare),
      deployed_(options.weights, nullptr, options.adapterShare),
      cache_(options.capacityBlocks),
      journal_(options.cacheEvents),
      orders_(options.safeguards.checkFencing,
              [this](const clients::EngineOrder& order) { runOrder(order); }) {
  sampledLoad_ = currentLoad();
  publishedLoad_ = sampledLoad_;
}

EngineModel::~EngineModel() { stopTimers(); }

void EngineModel::whenAwake(std::function<void()> call) {
  if (paused_) {
    deferred_.push_back(std::move(call));
    return;
  }
  call();
}

// --- intake

ExecutionId EngineModel::submit(EngineRequest request, clients::EngineStreamHandler& handler) {
  if (!up_) {
    handler.onError(DispatchError{DispatchFailure::kNotSent,
                                  Reason{ResultCode::kBackEndUnreachable, "engine is down"}});
    return 0;
  }
  const Index index = allocate();
  Execution& execution = executions_[index];
  execution.handler = &handler;
  const ExecutionId id = idOf(index);
  whenAwake([this, id, request = std::move(request)] {
    if (find(id) != nullptr) accept(static_cast<Index>(id), request);
  });
  return id;
}

EngineModel::Index EngineModel::allocate() {
  if (free_.empty()) {
    executions_.emplace_back();
    executions_.back().generation = 1;
    executions_.back().phase = Phase::kWaiting;
    return static_cast<Index>(executions_.size() - 1);
  }
  const Index index = free_.back();
  free_.pop_back();
  executions_[index].phase = Phase::kWaiting;
  return index;
}

ExecutionId EngineModel::idOf(Index index) const {
  return (static_cast<ExecutionId>(executions_[index].generation) << kGenerationShift) | index;
}

std::uint32_t EngineModel::blocksFor(std::uint64_t tokens) {
  return static_cast<std::uint32_t>((tokens + prefix::kTokensPerBlock - 1) /
                                    prefix::kTokensPerBlock);
}

EngineModel::Execution* EngineModel::find(ExecutionId execution) {
  const auto index = static_cast<Index>(execution);
  if (index >= executions_.size()) return nullptr;
  Execution& found = executions_[index];
  const bool current = idOf(index) == execution;
  return current && found.phase != Phase::kFree && found.phase != Phase::kOver ? &found : nullptr;
}

std::optional<Reason> EngineModel::identityMismatch(const EngineRequest& request) const {
  const bool otherIncarnation = request.incarnation != 0 && request.incarnation != incarnation_;
  if (otherIncarnation && options_.safeguards.checkIncarnation) {
    return Reason{ResultCode::kIdentityMismatch, "incarnation"};
  }
  return weights_.mismatch(request.identity);
}

std::optional<Reason> EngineModel::refusal(const EngineRequest& request) const {
  if (leaving_) return Reason{ResultCode::kBackEndLeaving, "engine is leaving"};
  if (role_ != clients::EngineRole::kServing) {
    return Reason{ResultCode::kBackEndRefused, "engine is on standby"};
  }
  if (auto mismatch = identityMismatch(request)) return mismatch;
  if (request.prompt == nullptr || request.prompt->empty()) {
    return Reason{ResultCode::kInvalidField, "prompt"};
  }
  if (waitingCount() >= options_.maximumWaiting) {
    return Reason{ResultCode::kBackEndRefused, "queue is full"};
  }
  const std::uint64_t tokens = prefix::tokenCount(*request.prompt) +
                               expectedLength(promptHash(*request.prompt), request.maximumTokens);
  if (blocksFor(tokens) > options_.capacityBlocks) {
    return Reason{ResultCode::kInvalidField, "prompt exceeds the engine's memory"};
  }
  return std::nullopt;
}

clients::CacheIdentity EngineModel::hashedIdentity(const clients::CacheIdentity& identity) const {
  clients::CacheIdentity hashed = identity;
  if (!options_.safeguards.separateTenants) hashed.tenantSalt = 0;
  if (!options_.safeguards.separateVersions) hashed.weightsVersion = 0;
  return hashed;
}

void EngineModel::accept(Index index, const EngineRequest& request) {
  Execution& execution = executions_[index];
  if (auto reason = refusal(request)) {
    clients::EngineStreamHandler* handler = execution.handler;
    execution.phase = Phase::kOver;
    release(index, ExecutionEnd::kCancelled);
    if (surroundings_.observer != nullptr) {
      surroundings_.observer->onRefused(id_, request, *reason);
    }
    handler->onError(DispatchError{DispatchFailure::kRefusedNotRun, *std::move(reason)});
    return;
  }
  const std::string& prompt = *request.prompt;
  ExecutionRecord& record = execution.record;
  record.execution = idOf(index);
  record.engine = id_;
  record.incarnation = incarnation_;
  record.requestId = request.requestId;
  record.attempt = request.attempt;
  record.priority = request.priority;
  record.identity = request.identity;
  record.requestedIncarnation = request.incarnation;
  record.promptHash = promptHash(prompt);
  record.promptTokens = prefix::tokenCount(prompt);
  record.firstPosition = request.nextPosition;
  record.generatedMatches =
      request.generated == expectedText(record.promptHash, 0, request.nextPosition);
  execution.importBlocks = request.importBlocks;
  execution.exportBlocks = request.exportBlocks;
  execution.chain = prefix::blockChain(hashedIdentity(request.identity), prompt);
  execution.position = request.nextPosition;
  execution.length = expectedLength(record.promptHash, request.maximumTokens);
  execution.provenance =
      provenances_.indexOf(BlockProvenance{record.identity, id_, incarnation_, false});
  const std::uint32_t cached = cachedLeadingBlocks(execution.chain);
  execution.prefillLeft =
      record.promptTokens - cached * prefix::kTokensPerBlock + record.firstPosition;
  waiting_[static_cast<std::size_t>(record.priority)].push_back(index);
  if (surroundings_.observer != nullptr) surroundings_.observer->onAccepted(record);
  sampleLoad();
  const ExecutionId id = record.execution;
  execution.handler->onAccepted();
  if (find(id) != nullptr) kick();
}

void EngineModel::cancel(ExecutionId id) {
  Execution* execution = find(id);
  if (execution == nullptr) return;
  const auto index = static_cast<Index>(id);
  auto& queue = waiting_[static_cast<std::size_t>(execution->record.priority)];
  const auto queued = std::find(queue.begin(), queue.end(), index);
  if (queued != queue.end()) queue.erase(queued);
  release(index, ExecutionEnd::kCancelled);
  forgetFinished();
  whenAwake([this] { kick(); });
}

// --- life

void EngineModel::leave() { leaving_ = true; }

void EngineModel::stopTimers() {
  if (stepTimer_ != 0) timers_.cancel(stepTimer_);
  if (sampleTimer_ != 0) timers_.cancel(sampleTimer_);
  stepTimer_ = 0;
  sampleTimer_ = 0;
  for (Execution& execution : executions_) {
    if (execution.importTimer != 0) timers_.cancel(execution.importTimer);
    execution.importTimer = 0;
  }
  weights_.cancelFetches();
}

void EngineModel::crash() {
  if (!up_) return;
  up_ = false;
  paused_ = false;
  inStep_ = false;
  ++epoch_;
  stopTimers();
  deferred_.clear();
  std::vector<clients::EngineStreamHandler*> broken;
  for (Index index = 0; index < executions_.size(); ++index) {
    Execution& execution = executions_[index];
    if (execution.phase == Phase::kFree || execution.phase == Phase::kOver) continue;
    broken.push_back(execution.handler);
    release(index, ExecutionEnd::kCrashed);
  }
  for (auto& queue : waiting_) queue.clear();
  orders_.forgetAll(options_.keepsFencingTokenOverCrash);
  unloading_ = false;
  stalls_ = 0;
  forgetFinished();
  if (options_.safeguards.crashLosesCache) {
    cache_.clear();
    provenances_.clear();
    if (surroundings_.observer != nullptr) surroundings_.observer->onCacheLost(id_);
  }
  journal_.clear();
  for (clients::EngineStreamHandler* handler : broken) {
    handler->onError(DispatchError{DispatchFailure::kOutcomeUnknown,
                                   Reason{ResultCode::kBackEndLost, "engine crashed"}});
  }
}

void EngineModel::restart() {
  if (up_) crash();
  up_ = true;
  leaving_ = false;
  ++incarnation_;
  sampledLoad_ = currentLoad();
  publishedLoad_ = sampledLoad_;
  weights_.clear();
  if (!options_.reloadsWeightsOnRestart) return;
  for (const clients::LoadedWeights& weights : deployed_.loaded()) {
    loadWeights(weights, [] {});
  }
}

void EngineModel::pause() {
  if (up_) paused_ = true;
}

void EngineModel::resume() {
  if (!paused_) return;
  paused_ = false;
  const std::uint64_t epoch = epoch_;
  const std::vector<std::function<void()>> calls = std::exchange(deferred_, {});
  for (const auto& call : calls) {
    if (epoch != epoch_) return;
    call();
  }
  kick();
}

}  // namespace covewing::emulator
