/// \file
/// Entry of the request path on one node: gives each request its identifier and its own flow.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "request/caller_request.h"
#include "request/claim_store.h"
#include "request/deferred_release.h"
#include "request/request_flow.h"

namespace covewing::request {

/// Name and run of the node, from which request identifiers are made.
struct NodeRun {
  std::string nodeName;
  base::Incarnation incarnation = 0;
};

class RequestManager final : public RequestService {
 public:
  RequestManager(NodeRun run, RequestOptions options, const RequestDependencies& dependencies);
  /// Requests still open are dropped and their sinks silenced.
  ~RequestManager() override;
  RequestManager(const RequestManager&) = delete;
  RequestManager& operator=(const RequestManager&) = delete;

  std::unique_ptr<ActiveRequest> complete(CompletionRequest request, CompletionSink& sink) override;
  std::unique_ptr<ActiveRequest> proxy(ProxiedRequest request, ProxiedSink& sink) override;
  std::size_t openRequests() const override { return open_.size(); }

  /// From now on new requests are refused; those in flight go on.
  void startDraining() { draining_ = true; }
  /// Ends the requests still open, each with its final error.
  void failOpenRequests(const base::Reason& reason);
  bool draining() const { return draining_; }
  /// Called before each request is looked at, so that a node that was paused notices it first.
  void setBeforeRequest(std::function<void()> callback) { beforeRequest_ = std::move(callback); }
  /// Called whenever a request ends.
  void setOnFinished(std::function<void()> callback) { onFinished_ = std::move(callback); }

 private:
  std::shared_ptr<RequestTrace> openTrace(RequestKind kind, std::string subject);
  std::unique_ptr<ActiveRequest> open(std::shared_ptr<RequestFlow> flow);
  std::optional<base::Reason> refusedByNode() const;
  void onFlowFinished(std::uint64_t number);

  NodeRun run_;
  RequestOptions options_;
  RequestDependencies dependencies_;
  DeferredRelease deferred_;
  std::map<std::uint64_t, std::weak_ptr<RequestFlow>> open_;
  std::uint64_t nextNumber_ = 1;
  bool draining_ = false;
  std::function<void()> beforeRequest_;
  std::function<void()> onFinished_;
};

}  // namespace covewing::request
