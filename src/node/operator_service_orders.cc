#include "node/operator_service_orders.h"

#include <algorithm>
#include <utility>

#include "config/json_fields.h"
#include "coordination/order_request.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;
using coordination::Order;
using coordination::OrderCallResult;
using coordination::OrderCallStatus;
using coordination::OrderRequest;
using coordination::OrderStep;
using coordination::OrderType;

constexpr config::JsonBounds kBodyBounds{.maximumBytes = 64UL << 10U, .maximumDepth = 4};
constexpr std::size_t kMaximumName = 128;
constexpr std::size_t kMaximumEngines = 1024;
constexpr std::size_t kMaximumAdapters = 64;
constexpr std::uint64_t kMaximumCount = 100'000;
/// 2^53: every JSON parser represents integers up to this value exactly.
constexpr std::uint64_t kMaximumVersion = 1ULL << 53U;

Json jsonOf(const OrderStep& step) {
  return {
      {"engine", step.engine},
      {"state", coordination::toString(step.state)},
      {"detail", step.detail},
      {"executor", step.executor},
      {"elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(step.elapsed).count()}};
}

/// Fields of an order in a list of orders.
Json summaryOf(const Order& order) {
  const auto done = std::ranges::count_if(
      order.steps, [](const OrderStep& step) { return coordination::isFinal(step.state); });
  Json json = {{"id", order.id},
               {"kind", coordination::toString(order.type)},
               {"region", order.region},
               {"state", coordination::toString(order.state)},
               {"detail", order.detail},
               {"author", order.author},
               {"operation", order.operationId},
               {"cancel_requested", order.cancelRequested},
               {"done_steps", done},
               {"steps_total", order.steps.size()},
               {"revision", order.revision}};
  if (order.type == OrderType::kRole) {
    json["role"] = coordination::toString(order.role);
  } else {
    json["model"] = order.weights.model;
    json["version"] = order.weights.version;
  }
  return json;
}

Json detailOf(const Order& order) {
  Json json = summaryOf(order);
  if (order.type != OrderType::kRole) json["adapters"] = order.weights.adapters;
  if (order.type == OrderType::kSwap) json["keep_old"] = order.keepOld;
  json["parallel"] = order.parallel;
  json["minimum_serving"] = order.minimumServing;
  json["fencing_token"] = order.token;
  Json steps = Json::array();
  for (const OrderStep& step : order.steps) steps.push_back(jsonOf(step));
  json["steps"] = std::move(steps);
  return json;
}

OperatorResponse responseOf(const OrderCallResult& result) {
  switch (result.status) {
    case OrderCallStatus::kOk:
      return okResponse(detailOf(*result.order));
    case OrderCallStatus::kConflict:
      return conflictResponse(result.reason.detail, {{"id", result.order->id},
                                                     {"version", result.order->revision},
                                                     {"holder", result.order->author}});
    case OrderCallStatus::kUnknown:
      return errorResponse(result.reason.code, result.reason.detail, OperatorOutcome::kUnknown);
    default:
      return errorResponse(result.reason);
  }
}

std::optional<std::uint32_t> optionalCount(config::FieldReader& reader, std::string_view name) {
  if (reader.find(name) == nullptr) return std::nullopt;
  return static_cast<std::uint32_t>(reader.unsignedInteger(name, 0, 0, kMaximumCount));
}

/// Reads the request body and appends its errors to `mistakes`.
OrderRequest readRequest(const Json& body, std::vector<config::FieldMistake>& mistakes) {
  config::FieldReader reader(body, "", mistakes);
  OrderRequest request;
  if (reader.find("kind") == nullptr) reader.mistake("kind", "missing");
  request.type = static_cast<OrderType>(reader.choice("kind", 0, {"load", "swap", "role"}));
  request.region = reader.text("region", "", kMaximumName);
  request.engines = reader.texts("engines", kMaximumEngines, kMaximumName);
  request.zone = reader.text("zone", "", kMaximumName);
  request.minimumServing = optionalCount(reader, "minimum_serving");
  if (request.type != OrderType::kSwap) request.count = optionalCount(reader, "count");
  if (request.type == OrderType::kRole) {
    if (reader.find("role") == nullptr) reader.mistake("role", "missing");
    request.role =
        static_cast<clients::EngineRole>(reader.choice("role", 0, {"serving", "standby"}));
  } else {
    request.model = reader.text("model", "", kMaximumName);
    request.version = reader.unsignedInteger("version", 0, 1, kMaximumVersion);
    request.adapters = reader.texts("adapters", kMaximumAdapters, kMaximumName);
    request.parallel = optionalCount(reader, "parallel").value_or(0);
  }
  if (request.type == OrderType::kSwap) request.keepOld = reader.boolean("keep_old", false);
  reader.finish();
  return request;
}

}  // namespace

void OrderCalls::call(const OperatorTarget& target, const OperatorRequest& request,
                      OperatorCallback callback) {
  const auto& segments = target.segments();
  if (segments.size() == 2) {
    callOne(segments[1], target, request, std::move(callback));
  } else if (segments.size() > 2) {
    callback(errorResponse(base::ResultCode::kUnknownPath, "no such resource under /v1/orders"));
  } else if (request.method == "GET") {
    list(std::move(callback));
  } else if (request.method == "POST") {
    create(target, request.body, std::move(callback));
  } else {
    callback(errorResponse(base::ResultCode::kMethodNotAllowed, "orders take GET and POST"));
  }
}

void OrderCalls::callOne(const std::string& id, const OperatorTarget& /*target*/,
                         const OperatorRequest& request, OperatorCallback callback) {
  auto respond = [callback = std::move(callback)](const OrderCallResult& result) {
    callback(responseOf(result));
  };
  if (request.method == "GET") {
    store_.find(id, std::move(respond));
  } else if (request.method == "DELETE") {
    store_.cancel(id, std::move(respond));
  } else {
    respond({OrderCallStatus::kNotFound,
             std::nullopt,
             {base::ResultCode::kMethodNotAllowed, "an order takes GET and DELETE"}});
  }
}

void OrderCalls::create(const OperatorTarget& target, const std::string& body,
                        OperatorCallback callback) {
  std::vector<config::FieldMistake> mistakes;
  const auto json = config::parseBoundedJson(body, kBodyBounds, mistakes);
  if (!json) {
    callback(errorResponse(base::ResultCode::kMalformedJson, mistakes));
    return;
  }
  OrderRequest request = readRequest(*json, mistakes);
  request.operationId = target.text("operation");
  request.author = target.text("author");
  if (request.region.empty()) request.region = store_.region();
  if (request.region != store_.region()) {
    mistakes.push_back({"region", "this node is in region " + store_.region()});
  }
  if (request.operationId.size() > kMaximumName) mistakes.push_back({"operation", "too long"});
  if (request.author.size() > kMaximumName) mistakes.push_back({"author", "too long"});
  std::optional<Order> order;
  if (mistakes.empty()) order = coordination::makeOrder(request, catalogue_.engines(), mistakes);
  if (!order) {
    callback(errorResponse(base::ResultCode::kOrderInvalid, mistakes));
    return;
  }
  store_.create(std::move(*order), [callback = std::move(callback)](const OrderCallResult& result) {
    callback(responseOf(result));
  });
}

void OrderCalls::list(OperatorCallback callback) {
  store_.list([callback = std::move(callback)](const coordination::OrderListResult& result) {
    if (!result.orders) {
      callback(errorResponse(result.reason));
      return;
    }
    Json orders = Json::array();
    for (const Order& order : *result.orders) orders.push_back(summaryOf(order));
    callback(okResponse({{"orders", std::move(orders)}}));
  });
}

}  // namespace covewing::node
