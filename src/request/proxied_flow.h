/// \file
/// A request that is proxied to an application back end: its attempts at the replicas, those of the
/// own zone first.
#pragma once

#include <memory>
#include <string>

#include "request/request_flow.h"

namespace covewing::request {

class ProxiedFlow final : public RequestFlow {
 public:
  ProxiedFlow(const RequestDependencies& dependencies, const RequestOptions& options,
              DeferredRelease& deferred, std::shared_ptr<RequestTrace> trace,
              ProxiedRequest request, ProxiedSink& sink);

 protected:
  config::TenantTemplatePtr check(base::Reason& reason) override;
  void startAttempt() override;
  void stopAttempt() override { ++currentCall_; }
  void deliverRefusal(const Refusal& refusal) override { sink_.onRefused(refusal); }
  base::PriorityClass priority() const override { return plan_.tenant->priority; }
  const std::string& idempotencyKey() const override { return request_.idempotencyKey; }
  bool notRepeatable() const override { return plan_.notRepeatable; }
  bool repeatable() const override { return plan_.repeatable; }

 private:
  std::optional<clients::BackEndAddress> chooseReplica();
  clients::ApplicationRequest applicationRequest() const;
  void onResult(const clients::ApplicationResult& result);
  void onResponse(const clients::ApplicationResponse& response);

  ProxiedRequest request_;
  ProxiedSink& sink_;
  ProxyPlan plan_;
  base::EngineId replica_;
  /// Number of the call whose result is pending. Results of earlier calls are ignored.
  std::uint64_t currentCall_ = 0;
};

}  // namespace covewing::request
