#include "node/operator_service.h"

#include <memory>
#include <utility>

#include "node/operator_service_orders.h"
#include "node/operator_service_response.h"
#include "node/operator_service_status.h"
#include "node/operator_service_target.h"
#include "node/operator_service_templates.h"

namespace covewing::node {

namespace {

class OperatorServiceImpl final : public OperatorService {
 public:
  explicit OperatorServiceImpl(const OperatorServiceDependencies& dependencies)
      : timers_(dependencies.timers),
        templates_(dependencies.templates, dependencies.configuration),
        orders_(dependencies.coordinator.orders(), dependencies.catalogue),
        status_(dependencies.clock, dependencies.configuration, dependencies.members,
                dependencies.fleet, dependencies.coordinator, dependencies.explainLog,
                dependencies.activity) {}

  void call(OperatorRequest request, std::function<void(OperatorResponse)> callback) override {
    // The callback must not be called from inside this function.
    auto respondLater = [&timers = timers_,
                         callback = std::move(callback)](OperatorResponse response) {
      timers.schedule(base::Duration::zero(),
                      [callback, response = std::move(response)] { callback(response); });
    };
    base::Reason reason;
    const auto target = OperatorTarget::parse(request.target, reason);
    if (!target) {
      respondLater(errorResponse(reason));
      return;
    }
    dispatch(*target, request, std::move(respondLater));
  }

 private:
  void dispatch(const OperatorTarget& target, const OperatorRequest& request,
                OperatorCallback callback) {
    const std::string resource = target.segments().empty() ? "" : target.segments().front();
    if (resource == "templates") {
      templates_.call(target, request, std::move(callback));
    } else if (resource == "orders") {
      orders_.call(target, request, std::move(callback));
    } else if (request.method == "GET" && dispatchStatus(target, callback)) {
      return;
    } else if (resource == "expand" && request.method == "POST") {
      callback(templates_.expand(target, request.body));
    } else {
      callback(
          errorResponse(base::ResultCode::kUnknownPath, "no such resource: " + request.target));
    }
  }

  /// Handles the read-only status calls; returns false for other targets.
  bool dispatchStatus(const OperatorTarget& target, const OperatorCallback& callback) const {
    const auto& segments = target.segments();
    if (segments.size() == 1 && segments[0] == "fleet") {
      callback(status_.fleet());
    } else if (segments.size() == 1 && segments[0] == "node") {
      callback(status_.node());
    } else if (segments.size() == 2 && segments[0] == "requests") {
      callback(status_.explain(segments[1]));
    } else {
      return false;
    }
    return true;
  }

  base::TimerService& timers_;
  TemplateCalls templates_;
  OrderCalls orders_;
  StatusCalls status_;
};

}  // namespace

std::unique_ptr<OperatorService> makeOperatorService(
    const OperatorServiceDependencies& dependencies) {
  return std::make_unique<OperatorServiceImpl>(dependencies);
}

}  // namespace covewing::node
