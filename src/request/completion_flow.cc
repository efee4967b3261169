#include "request/completion_flow.h"

#include <algorithm>
#include <utility>

#include "prefix/prompt.h"

namespace covewing::request {

using base::Duration;
using base::Reason;
using base::ResultCode;
using clients::DispatchError;
using clients::DispatchFailure;

namespace {
/// Interval between two attempts to find an engine while none is eligible.
constexpr Duration kEngineRetryInterval = std::chrono::milliseconds(50);
/// Maximum number of routing decisions in the trace of one request.
constexpr std::size_t kMaximumTracedDecisions = 8;
}  // namespace

/// One stream from one engine. After `detach` it ignores all further events and only waits to be
/// destroyed.
class CompletionFlow::Attempt final : public clients::EngineStreamHandler {
 public:
  Attempt(CompletionFlow& flow, base::EngineId engineId, base::Incarnation engineIncarnation,
          base::TimePoint now)
      : engine(engineId), incarnation(engineIncarnation), startedAt(now), flow_(&flow) {}

  void onAccepted() override {
    if (const auto flow = lockFlow()) flow->onAccepted();
  }
  void onChunk(clients::StreamChunk chunk) override {
    if (const auto flow = lockFlow()) flow->onChunk(chunk);
  }
  void onEnd(clients::StreamEnd end) override {
    if (const auto flow = lockFlow()) flow->onEnd(end);
  }
  void onError(DispatchError error) override {
    if (const auto flow = lockFlow()) flow->onError(std::move(error));
  }

  void detach() { flow_ = nullptr; }

  const base::EngineId engine;
  const base::Incarnation incarnation;
  const base::TimePoint startedAt;
  std::optional<Duration> firstTokenAfter;
  /// The engine accepted the request.
  bool accepted = false;
  /// The engine sent a chunk, whether or not it was passed on to the caller.
  bool responding = false;
  /// Token counts reported by the engine; 0 until the stream ended completely.
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::unique_ptr<clients::EngineStream> stream;

 private:
  /// The flow, which the result keeps alive during a call; null after `detach`.
  std::shared_ptr<CompletionFlow> lockFlow() {
    if (flow_ == nullptr) return nullptr;
    return std::static_pointer_cast<CompletionFlow>(flow_->shared_from_this());
  }

  CompletionFlow* flow_;
};

CompletionFlow::CompletionFlow(const RequestDependencies& dependencies,
                               const RequestOptions& options, DeferredRelease& deferred,
                               std::shared_ptr<RequestTrace> trace, CompletionRequest request,
                               CompletionSink& sink)
    : RequestFlow(dependencies, options, deferred, std::move(trace)),
      request_(std::move(request)),
      sink_(sink),
      receiveTimer_(dependencies.timers),
      engineCheckTimer_(dependencies.timers),
      engineWaitTimer_(dependencies.timers) {}

std::uint32_t CompletionFlow::promptTokens() const { return prefix::tokenCount(*request_.prompt); }

config::TenantTemplatePtr CompletionFlow::check(Reason& reason) {
  const TenantCheckSources sources{dependencies().configuration, dependencies().fleet,
                                   dependencies().zones};
  std::optional<CompletionPlan> plan = checkCompletion(sources, request_, reason);
  if (!plan.has_value()) return nullptr;
  applyPlan(std::move(*plan));
  return plan_.tenant;
}

void CompletionFlow::applyPlan(CompletionPlan plan) {
  const bool sameIdentity = chain_ != nullptr && plan.identity == plan_.identity;
  plan_ = std::move(plan);
  if (sameIdentity) return;
  chain_ = std::make_shared<const prefix::BlockChain>(
      prefix::blockChain(plan_.identity, *request_.prompt));
}

void CompletionFlow::startAttempt() {
  engineWait_ = Duration::zero();
  route();
}

engine_routing::RouteQuery CompletionFlow::routeQuery() const {
  engine_routing::RouteQuery query;
  query.requestId = id();
  query.identity = plan_.identity;
  query.chain = chain_;
  query.promptTokens = promptTokens();
  query.priority = plan_.priority;
  query.deadline = responseStarted() ? options().interChunkTimeout : timeLeft();
  query.excluded = excluded_;
  return query;
}

void CompletionFlow::route() {
  engine_routing::RouteQuery query = routeQuery();
  const engine_routing::RouteQuery queryCopy = query;
  dependencies().policy.choose(
      std::move(query), whileOpen<engine_routing::RouteDecision>(
                            [this, queryCopy](const engine_routing::RouteDecision& decision) {
                              onRouted(queryCopy, decision);
                            }));
}

void CompletionFlow::onRouted(const engine_routing::RouteQuery& query,
                              const engine_routing::RouteDecision& decision) {
  traceDecision(decision);
  if (!decision.engine.has_value()) {
    onNoEngine(decision.reason);
    return;
  }
  dependencies().admission.onExpectedFirstToken(plan_.priority, decision.expectedTimeToFirstToken);
  const engine_routing::EngineState* engine = dependencies().fleet.find(*decision.engine);
  if (engine == nullptr) {
    onNoEngine({ResultCode::kNoBackEnd, "the engine chosen is gone"});
    return;
  }
  dispatch(query, decision, *engine);
}

void CompletionFlow::onNoEngine(const Reason& reason) {
  const bool retryNow = reconsiderFailedBackEnds();
  const Duration limit = responseStarted() ? options().interChunkTimeout : tenant().holdTime;
  if (!retryNow && engineWait_ >= limit) {
    Reason final = reason;
    if (final.code == ResultCode::kOk) final.code = ResultCode::kNoBackEnd;
    refuse(std::move(final));
    return;
  }
  engineWait_ += kEngineRetryInterval;
  engineWaitTimer_.start(retryNow ? Duration::zero() : kEngineRetryInterval, [this] {
    const auto self = shared_from_this();
    // During the wait the weights version may have become known, or the tenant may have been
    // retired.
    if (recheck()) route();
  });
}

void CompletionFlow::dispatch(const engine_routing::RouteQuery& query,
                              const engine_routing::RouteDecision& decision,
                              const engine_routing::EngineState& engine) {
  const clients::BackEndAddress address = engine.address;
  AttemptTrace& attemptTrace = traceAttempt(address.id, address.name);
  attemptTrace.firstPosition = positions_.next();
  attempt_ = std::make_shared<Attempt>(*this, address.id, decision.incarnation,
                                       dependencies().clock.now());
  dependencies().policy.onDispatched(query, decision);
  restartReceiveTimeout();
  attempt_->stream = dependencies().engines.start(address, engineRequest(decision), *attempt_);
  checkEngine();
  if (paused_) setPaused(true);
}

clients::EngineRequest CompletionFlow::engineRequest(
    const engine_routing::RouteDecision& decision) const {
  clients::EngineRequest request;
  request.requestId = id();
  request.attempt = attemptNumber();
  request.identity = plan_.identity;
  request.incarnation = decision.incarnation;
  request.priority = plan_.priority;
  request.prompt = request_.prompt;
  request.generated = generated_;
  request.nextPosition = positions_.next();
  request.maximumTokens = plan_.maximumTokens;
  request.importBlocks = decision.importBlocks;
  request.exportBlocks = decision.exportBlocks;
  return request;
}

void CompletionFlow::onAccepted() {
  attempt_->accepted = true;
  restartReceiveTimeout();
}

void CompletionFlow::onChunk(const clients::StreamChunk& chunk) {
  setMayHaveRun();
  attempt_->accepted = true;
  attempt_->responding = true;
  switch (positions_.accept(chunk.position)) {
    case ChunkVerdict::kNext:
      deliverChunk(chunk);
      return;
    case ChunkVerdict::kDuplicate:
      return;
    case ChunkVerdict::kGap:
      failAttempt({DispatchFailure::kOutcomeUnknown,
                   {ResultCode::kStreamBroken, "the engine skipped a position"}});
      return;
  }
}

void CompletionFlow::deliverChunk(const clients::StreamChunk& chunk) {
  stopDeadline();
  AttemptTrace& attemptTrace = currentAttempt();
  ++attemptTrace.chunks;
  if (!attempt_->firstTokenAfter.has_value()) {
    attempt_->firstTokenAfter = dependencies().clock.now() - attempt_->startedAt;
    attemptTrace.firstTokenAfter = elapsed();
  }
  generated_ += chunk.text;
  restartReceiveTimeout();
  sink_.onChunk(chunk);
}

void CompletionFlow::onEnd(const clients::StreamEnd& end) {
  setMayHaveRun();
  if (!positions_.complete(end.outputTokens)) {
    failAttempt({DispatchFailure::kOutcomeUnknown,
                 {ResultCode::kStreamBroken, "the end marker counts chunks that did not come"}});
    return;
  }
  AttemptTrace& attemptTrace = currentAttempt();
  attemptTrace.promptTokens = end.promptTokens;
  attemptTrace.cachedTokens = end.cachedTokens;
  attempt_->promptTokens = end.promptTokens;
  attempt_->cachedTokens = end.cachedTokens;
  finish([this, &end] { sink_.onEnd(end); });
}

void CompletionFlow::onError(DispatchError error) {
  // An engine that sent part of the response did execute the request, whatever error it reports.
  if (attempt_->responding) error.failure = DispatchFailure::kOutcomeUnknown;
  failAttempt(std::move(error));
}

void CompletionFlow::failAttempt(DispatchError error) {
  excluded_.push_back(attempt_->engine);
  stopAttempt();
  if (responseStarted()) error.reason.code = ResultCode::kStreamBroken;
  onAttemptFailed(error);
}

void CompletionFlow::restartReceiveTimeout() {
  receiveTimer_.stop();
  // While the caller does not read, the engine cannot send.
  if (paused_ || attempt_ == nullptr) return;
  if (!attempt_->accepted) {
    restartReceiveTimeout(options().acceptTimeout,
                          {ResultCode::kBackEndLost, "the engine did not take the request"});
  } else if (responseStarted()) {
    restartReceiveTimeout(
        options().interChunkTimeout,
        {ResultCode::kBackEndTimeout, "the engine's next token did not come in time"});
  }
}

void CompletionFlow::restartReceiveTimeout(Duration limit, Reason timeoutReason) {
  receiveTimer_.start(limit, [this, timeoutReason = std::move(timeoutReason)] {
    const auto self = shared_from_this();
    failAttempt({DispatchFailure::kOutcomeUnknown, timeoutReason});
  });
}

void CompletionFlow::checkEngine() {
  engineCheckTimer_.start(options().engineCheckPeriod, [this] {
    const auto self = shared_from_this();
    if (engineLost()) {
      failAttempt({DispatchFailure::kOutcomeUnknown,
                   {ResultCode::kBackEndLost, "the engine is gone or runs anew"}});
    } else {
      checkEngine();
    }
  });
}

bool CompletionFlow::engineLost() const {
  const engine_routing::EngineState* engine = dependencies().fleet.find(attempt_->engine);
  if (engine == nullptr || engine->unreachable) return true;
  const bool restarted = attempt_->incarnation != 0 && engine->incarnation > attempt_->incarnation;
  return restarted || !dependencies().zones.reachable(engine->zone);
}

void CompletionFlow::stopAttempt() {
  receiveTimer_.stop();
  engineCheckTimer_.stop();
  engineWaitTimer_.stop();
  if (attempt_ == nullptr) return;
  attempt_->detach();
  // Whatever the outcome, the attempt no longer counts towards the load of its engine.
  dependencies().policy.onFinished(attempt_->engine, attempt_->promptTokens, attempt_->cachedTokens,
                                   attempt_->firstTokenAfter.value_or(Duration::zero()));
  // The engine client may be in the middle of a call to the attempt.
  deferred().add(std::exchange(attempt_, nullptr));
}

void CompletionFlow::setPaused(bool paused) {
  if (ended()) return;
  paused_ = paused;
  if (attempt_ == nullptr || attempt_->stream == nullptr) return;
  attempt_->stream->setPaused(paused);
  restartReceiveTimeout();
}

void CompletionFlow::traceDecision(const engine_routing::RouteDecision& decision) {
  if (trace().decisions.size() >= kMaximumTracedDecisions) return;
  RoutingTrace routed;
  routed.decidedAfter = elapsed();
  routed.policy = dependencies().policy.name();
  routed.matchedBlocks = decision.matchedBlocks;
  routed.importBlocks = decision.importBlocks;
  routed.expectedTimeToFirstToken = decision.expectedTimeToFirstToken;
  const std::size_t kept = std::min(decision.candidates.size(), RequestTrace::kMaximumCandidates);
  routed.candidates.assign(decision.candidates.begin(),
                           decision.candidates.begin() + static_cast<std::ptrdiff_t>(kept));
  routed.reason = decision.reason;
  if (decision.engine.has_value()) {
    const engine_routing::EngineState* engine = dependencies().fleet.find(*decision.engine);
    if (engine != nullptr) routed.chosen = engine->address.name;
  }
  trace().decisions.push_back(std::move(routed));
}

}  // namespace covewing::request
