#include "request/proxied_flow.h"

#include <algorithm>
#include <utility>

namespace covewing::request {

using base::Reason;
using base::ResultCode;
using clients::DispatchError;
using clients::DispatchFailure;

ProxiedFlow::ProxiedFlow(const RequestDependencies& dependencies, const RequestOptions& options,
                         DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace,
                         ProxiedRequest request, ProxiedSink& sink)
    : RequestFlow(dependencies, options, deferred, std::move(trace)),
      request_(std::move(request)),
      sink_(sink) {}

config::TenantTemplatePtr ProxiedFlow::check(Reason& reason) {
  const TenantCheckSources sources{dependencies().configuration, dependencies().fleet,
                                   dependencies().zones};
  std::optional<ProxyPlan> plan = checkProxied(sources, request_, reason);
  if (!plan.has_value()) return nullptr;
  plan_ = std::move(*plan);
  return plan_.tenant;
}

void ProxiedFlow::startAttempt() {
  std::optional<clients::BackEndAddress> replica = chooseReplica();
  if (!replica.has_value() && reconsiderFailedBackEnds()) replica = chooseReplica();
  if (!replica.has_value()) {
    refuse({ResultCode::kNoBackEnd, "no live replica of application " + plan_.application});
    return;
  }
  replica_ = replica->id;
  traceAttempt(replica->id, replica->name);
  const std::uint64_t call = ++currentCall_;
  dependencies().applications.call(
      *replica, applicationRequest(),
      whileOpen<clients::ApplicationResult>([this, call](const clients::ApplicationResult& result) {
        if (call == currentCall_) onResult(result);
      }));
}

std::optional<clients::BackEndAddress> ProxiedFlow::chooseReplica() {
  for (const clients::BackEndAddress& replica :
       dependencies().fleet.applicationReplicas(plan_.application)) {
    if (std::ranges::find(excluded_, replica.id) == excluded_.end()) return replica;
  }
  return std::nullopt;
}

clients::ApplicationRequest ProxiedFlow::applicationRequest() const {
  clients::ApplicationRequest call;
  call.requestId = id();
  call.attempt = attemptNumber();
  call.method = request_.method;
  call.target = request_.target;
  call.headers = request_.headers;
  call.body = request_.body;
  call.timeout = std::min(options().applicationTimeout, timeLeft());
  return call;
}

void ProxiedFlow::onResult(const clients::ApplicationResult& result) {
  ++currentCall_;
  if (const auto* response = std::get_if<clients::ApplicationResponse>(&result)) {
    onResponse(*response);
    return;
  }
  excluded_.push_back(replica_);
  onAttemptFailed(std::get<DispatchError>(result));
}

void ProxiedFlow::onResponse(const clients::ApplicationResponse& response) {
  setMayHaveRun();
  if (response.requestId != id()) {
    excluded_.push_back(replica_);
    onAttemptFailed({DispatchFailure::kOutcomeUnknown,
                     {ResultCode::kBackEndLost, "the answer belongs to another request"}});
    return;
  }
  finish([this, &response] { sink_.onResponse(response); });
}

}  // namespace covewing::request
