/// \file
/// Entry point of the request path on one node. Assigns an identifier to each request and runs it
/// in a flow of its own.
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

/// Name and incarnation of the node. Request identifiers are derived from them.
struct NodeRun {
  std::string nodeName;
  base::Incarnation incarnation = 0;
};

class RequestManager final : public RequestService {
 public:
  RequestManager(NodeRun run, RequestOptions options, const RequestDependencies& dependencies);
  /// Drops the requests that are still open. Their sinks are not called any more.
  ~RequestManager() override;
  RequestManager(const RequestManager&) = delete;
  RequestManager& operator=(const RequestManager&) = delete;

  std::unique_ptr<ActiveRequest> complete(CompletionRequest request, CompletionSink& sink) override;
  std::unique_ptr<ActiveRequest> proxy(ProxiedRequest request, ProxiedSink& sink) override;
  std::size_t openRequests() const override { return open_.size(); }

  /// Refuses new requests from now on. Requests in flight continue.
  void startDraining() { draining_ = true; }
  /// Ends all open requests with a final error.
  void failOpenRequests(const base::Reason& reason);
  bool draining() const { return draining_; }
  /// Sets a callback that runs before each new request is processed, so that a node that was paused
  /// detects the pause first.
  void setBeforeRequest(std::function<void()> callback) { beforeRequest_ = std::move(callback); }
  /// Sets a callback that runs whenever a request ends.
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
