/// \file
/// A fake node whose requests are completed by the test.
#pragma once

#include <memory>

#include "node/node.h"

namespace covewing::live {

class FakeRequestService final : public request::RequestService {
 public:
  std::unique_ptr<request::ActiveRequest> complete(request::CompletionRequest request,
                                                   request::CompletionSink& sink) override {
    completion = std::move(request);
    completionSink = &sink;
    return std::make_unique<Active>(*this);
  }
  std::unique_ptr<request::ActiveRequest> proxy(request::ProxiedRequest request,
                                                request::ProxiedSink& sink) override {
    proxied = std::move(request);
    proxiedSink = &sink;
    return std::make_unique<Active>(*this);
  }
  std::size_t openRequests() const override { return active; }

  request::CompletionRequest completion;
  request::CompletionSink* completionSink = nullptr;
  request::ProxiedRequest proxied;
  request::ProxiedSink* proxiedSink = nullptr;
  std::size_t active = 0;
  bool paused = false;

 private:
  class Active final : public request::ActiveRequest {
   public:
    explicit Active(FakeRequestService& service) : service_(service) { ++service_.active; }
    ~Active() override { --service_.active; }
    Active(const Active&) = delete;
    Active& operator=(const Active&) = delete;
    const base::RequestId& id() const override { return id_; }
    void setPaused(bool paused) override { service_.paused = paused; }

   private:
    FakeRequestService& service_;
    base::RequestId id_{"request-1"};
  };
};

/// A configuration with a single tenant, whose key is "key-1" and whose model is "rules".
class FakeConfiguration final : public config::ConfigurationView {
 public:
  FakeConfiguration() {
    auto tenant = std::make_shared<config::TenantTemplate>();
    tenant->models = {{"rules", {"short"}, 0}};
    tenant_ = std::move(tenant);
  }
  config::TenantTemplatePtr findByKey(std::string_view bearerKey) const override {
    return bearerKey == "key-1" ? tenant_ : nullptr;
  }
  config::TenantTemplatePtr findByName(std::string_view /*name*/) const override { return nullptr; }
  config::Freshness freshness() const override { return {}; }
  bool loaded() const override { return true; }

 private:
  config::TenantTemplatePtr tenant_;
};

class FakeNode final : public node::Node, public node::OperatorService {
 public:
  void start() override {}
  void onPeerMessage(const base::PeerIdentity& /*sender*/, base::Channel /*channel*/,
                     std::string_view /*payload*/) override {}
  request::RequestService& requests() override { return requestService; }
  node::OperatorService& operators() override { return *this; }
  bool ready() const override { return true; }
  void drain(base::Duration /*bound*/, std::function<void()> drained) override { drained(); }
  const config::ConfigurationView& configuration() const override { return configuration_; }
  const membership::MemberDirectory& members() const override { std::abort(); }
  const engine_routing::FleetView& fleet() const override { std::abort(); }
  node::CoordinationStatus coordination() const override { return {}; }
  void call(node::OperatorRequest request,
            std::function<void(node::OperatorResponse)> callback) override {
    operatorRequest = std::move(request);
    callback({base::ResultCode::kOk, "{\"answer\":1}"});
  }

  FakeRequestService requestService;
  node::OperatorRequest operatorRequest;

 private:
  FakeConfiguration configuration_;
};

}  // namespace covewing::live
