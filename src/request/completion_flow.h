/// \file
/// A completion request: its attempts at engines, and the single gapless stream to the caller that
/// they produce.
///
/// An attempt is abandoned when the engine reports an error, skips a position, ends the stream
/// before all chunks were sent, sends no data for too long, or is known to be lost. The next
/// attempt then continues at the next position with the same version of the weights. A chunk that
/// was delivered once is never delivered again.
#pragma once

#include <memory>
#include <string>

#include "prefix/block_chain.h"
#include "request/request_flow.h"
#include "request/stream_positions.h"

namespace covewing::request {

class CompletionFlow final : public RequestFlow {
 public:
  CompletionFlow(const RequestDependencies& dependencies, const RequestOptions& options,
                 DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace,
                 CompletionRequest request, CompletionSink& sink);

  void setPaused(bool paused) override;

 protected:
  config::TenantTemplatePtr check(base::Reason& reason) override;
  void startAttempt() override;
  void stopAttempt() override;
  void deliverRefusal(const Refusal& refusal) override { sink_.onRefused(refusal); }
  std::uint32_t promptTokens() const override;
  base::PriorityClass priority() const override { return plan_.priority; }
  const std::string& idempotencyKey() const override { return request_.idempotencyKey; }
  bool notRepeatable() const override { return request_.notRepeatable; }
  bool repeatable() const override { return !request_.notRepeatable; }
  bool responseStarted() const override { return positions_.next() > 0; }

 private:
  class Attempt;

  void applyPlan(CompletionPlan plan);
  void route();
  engine_routing::RouteQuery routeQuery() const;
  void onRouted(const engine_routing::RouteQuery& query,
                const engine_routing::RouteDecision& decision);
  void onNoEngine(const base::Reason& reason);
  void dispatch(const engine_routing::RouteQuery& query,
                const engine_routing::RouteDecision& decision,
                const engine_routing::EngineState& engine);
  clients::EngineRequest engineRequest(const engine_routing::RouteDecision& decision) const;
  void traceDecision(const engine_routing::RouteDecision& decision);

  void onAccepted();
  void onChunk(const clients::StreamChunk& chunk);
  void onEnd(const clients::StreamEnd& end);
  void onError(clients::DispatchError error);
  void deliverChunk(const clients::StreamChunk& chunk);
  void failAttempt(clients::DispatchError error);
  /// Restarts the receive timeout that applies to the current state of the attempt.
  void restartReceiveTimeout();
  void restartReceiveTimeout(base::Duration limit, base::Reason timeoutReason);
  /// Checks periodically whether the engine of the attempt is lost, and abandons the attempt if so.
  void checkEngine();
  bool engineLost() const;

  CompletionRequest request_;
  CompletionSink& sink_;
  CompletionPlan plan_;
  std::shared_ptr<const prefix::BlockChain> chain_;
  StreamPositions positions_;
  /// Text delivered so far. It is sent to the next engine when the stream is resumed there.
  std::string generated_;
  std::shared_ptr<Attempt> attempt_;
  bool paused_ = false;
  base::Duration engineWait_{};
  OneShotTimer receiveTimer_;
  OneShotTimer engineCheckTimer_;
  OneShotTimer engineWaitTimer_;
};

}  // namespace covewing::request
