#include "request/request_manager.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "request/completion_flow.h"
#include "request/proxied_flow.h"

namespace covewing::request {

using base::Reason;
using base::ResultCode;

namespace {

/// Handle of a flow that is given to the caller of RequestManager.
class FlowHandle final : public ActiveRequest {
 public:
  explicit FlowHandle(std::shared_ptr<RequestFlow> flow) : flow_(std::move(flow)) {}
  ~FlowHandle() override { flow_->cancel(); }
  FlowHandle(const FlowHandle&) = delete;
  FlowHandle& operator=(const FlowHandle&) = delete;

  const base::RequestId& id() const override { return flow_->id(); }
  void setPaused(bool paused) override { flow_->setPaused(paused); }

 private:
  std::shared_ptr<RequestFlow> flow_;
};

}  // namespace

RequestManager::RequestManager(NodeRun run, RequestOptions options,
                               const RequestDependencies& dependencies)
    : run_(std::move(run)),
      options_(options),
      dependencies_(dependencies),
      deferred_(dependencies.timers) {}

RequestManager::~RequestManager() {
  onFinished_ = nullptr;
  const auto open = std::exchange(open_, {});
  for (const auto& [number, weak] : open) {
    if (const auto flow = weak.lock()) flow->abandon();
  }
}

std::unique_ptr<ActiveRequest> RequestManager::complete(CompletionRequest request,
                                                        CompletionSink& sink) {
  if (request.prompt == nullptr) request.prompt = std::make_shared<const std::string>();
  auto trace = openTrace(RequestKind::kCompletion, request.model);
  return open(std::make_shared<CompletionFlow>(dependencies_, options_, deferred_, std::move(trace),
                                               std::move(request), sink));
}

std::unique_ptr<ActiveRequest> RequestManager::proxy(ProxiedRequest request, ProxiedSink& sink) {
  auto trace = openTrace(RequestKind::kProxied, request.method + " " + request.target);
  return open(std::make_shared<ProxiedFlow>(dependencies_, options_, deferred_, std::move(trace),
                                            std::move(request), sink));
}

std::shared_ptr<RequestTrace> RequestManager::openTrace(RequestKind kind, std::string subject) {
  auto trace = std::make_shared<RequestTrace>();
  trace->id.value = fmt::format("{}-{:x}-{:x}", run_.nodeName, run_.incarnation, nextNumber_);
  trace->kind = kind;
  trace->subject = std::move(subject);
  trace->startedAt = dependencies_.clock.now();
  dependencies_.traces.add(trace);
  return trace;
}

std::unique_ptr<ActiveRequest> RequestManager::open(std::shared_ptr<RequestFlow> flow) {
  if (beforeRequest_ != nullptr) beforeRequest_();
  std::optional<Reason> refused = refusedByNode();
  const std::uint64_t number = nextNumber_++;
  open_.emplace(number, flow);
  flow->start([this, number] { onFlowFinished(number); }, std::move(refused));
  return std::make_unique<FlowHandle>(std::move(flow));
}

void RequestManager::failOpenRequests(const Reason& reason) {
  std::vector<std::shared_ptr<RequestFlow>> flows;
  for (const auto& [number, weak] : open_) {
    if (auto flow = weak.lock()) flows.push_back(std::move(flow));
  }
  for (const auto& flow : flows) flow->refuseByNode(reason);
}

std::optional<Reason> RequestManager::refusedByNode() const {
  if (draining_) return Reason{ResultCode::kNodeDraining, "this node is leaving"};
  if (open_.size() >= options_.maximumOpenRequests) {
    return Reason{ResultCode::kNodeOverloaded, "this node has reached its limit of open requests"};
  }
  return std::nullopt;
}

void RequestManager::onFlowFinished(std::uint64_t number) {
  open_.erase(number);
  if (onFinished_ != nullptr) onFinished_();
}

}  // namespace covewing::request
