#include "sim/order_workload.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace covewing::sim {

OrderWorkload::OrderWorkload(Fleet& fleet, OrderWorkloadOptions options, std::uint64_t seed)
    : fleet_(fleet), options_(options), random_(seed) {}

void OrderWorkload::start() {
  endsAt_ = fleet_.scheduler().now() + options_.length;
  if (options_.period > base::Duration::zero()) scheduleNext();
}

void OrderWorkload::scheduleNext() {
  fleet_.scheduler().after(random_.jittered(options_.period, 0.5), [this] {
    if (fleet_.scheduler().now() >= endsAt_) return;
    submit();
    scheduleNext();
  });
}

void OrderWorkload::submit() {
  const auto& nodes = fleet_.options().nodes;
  const auto node = static_cast<std::size_t>(random_.below(nodes.size()));
  node::OperatorRequest request;
  request.method = "POST";
  request.target =
      "/v1/orders?operation=order-" + std::to_string(nextOrder_++) + "&author=operator";
  request.body = makeOrder();
  fleet_.node(node).operate(std::move(request),
                            [this](const std::optional<node::OperatorResponse>& response) {
                              if (response && response->code == base::ResultCode::kOk) ++accepted_;
                            });
}

std::string OrderWorkload::makeOrder() {
  constexpr double kRoleShare = 0.2;
  constexpr double kSwapShare = 0.5;
  nlohmann::json order = {{"region", fleet_.options().nodes.front().location.region}};
  const auto kind = random_.unit();
  if (kind < kRoleShare) {
    // An engine goes to standby, and with the next order of this kind back to serving.
    order["kind"] = "role";
    if (standby_.empty()) {
      standby_ = fleet_.options().engines[random_.below(2)].model.name;
      order["role"] = "standby";
      order["engines"] = {standby_};
    } else {
      order["role"] = "serving";
      order["engines"] = {std::exchange(standby_, {})};
    }
    return order.dump();
  }
  order["kind"] = kind < kRoleShare + kSwapShare ? "swap" : "load";
  order["model"] = random_.below(2) == 0 ? "rules" : "notes";
  order["version"] = nextVersion_++;
  order["adapters"] = {"adapter-a"};
  return order.dump();
}

}  // namespace covewing::sim
