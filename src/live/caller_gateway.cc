#include "live/caller_gateway.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "live/caller_call.h"
#include "live/http_application_client.h"
#include "live/http_client.h"

namespace covewing::live {

namespace {

constexpr unsigned kOk = 200;
constexpr std::string_view kPriorityHeader = "X-Covewing-Priority";
constexpr std::string_view kNotRepeatableHeader = "X-Covewing-Not-Repeatable";
constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr std::string_view kCovewingHeaderPrefix = "X-Covewing-";
constexpr std::size_t kMaximumIdempotencyKey = 255;

/// Request headers that the node interprets.
struct CallerHeaders {
  std::optional<base::PriorityClass> priority;
  std::string idempotencyKey;
  bool notRepeatable = false;
};

/// Returns nothing, with the invalid header named in `reason`, if a header has an invalid value.
std::optional<CallerHeaders> parseHeaders(const HttpRequest& request, base::Reason& reason) {
  CallerHeaders headers;
  reason.code = base::ResultCode::kInvalidField;
  const auto priority = request.header(kPriorityHeader);
  if (!priority.empty()) {
    headers.priority = base::parsePriorityClass(priority);
    if (!headers.priority) {
      reason.detail =
          "X-Covewing-Priority: must be one of urgent, interactive, standard, background";
      return std::nullopt;
    }
  }
  const auto notRepeatable = request.header(kNotRepeatableHeader);
  headers.notRepeatable = notRepeatable == "true";
  if (!notRepeatable.empty() && notRepeatable != "true" && notRepeatable != "false") {
    reason.detail = "X-Covewing-Not-Repeatable: must be true or false";
    return std::nullopt;
  }
  headers.idempotencyKey = request.header(kIdempotencyHeader);
  if (headers.idempotencyKey.size() > kMaximumIdempotencyKey) {
    reason.detail = "Idempotency-Key: must have at most 255 characters";
    return std::nullopt;
  }
  return headers;
}

/// Whether a header of a proxied request is sent on to the application back end.
bool isForwarded(const HeaderField& field) {
  const bool own =
      field.name.size() > kCovewingHeaderPrefix.size() &&
      equalHeaderNames(field.name.substr(0, kCovewingHeaderPrefix.size()), kCovewingHeaderPrefix);
  return !own && !isConnectionHeader(field.name) &&
         !equalHeaderNames(field.name, "Authorization") &&
         !equalHeaderNames(field.name, kRequestIdHeader) && !equalHeaderNames(field.name, "Expect");
}

std::int64_t secondsSinceEpoch() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

std::string modelList(const config::TenantTemplate& tenant) {
  auto models = nlohmann::json::array();
  for (const auto& permission : tenant.models) {
    models.push_back({{"id", permission.model},
                      {"object", "model"},
                      {"owned_by", "covewing"},
                      {"adapters", permission.adapters}});
  }
  return nlohmann::json{{"object", "list"}, {"data", models}}.dump();
}

}  // namespace

struct CallerGateway::Impl : std::enable_shared_from_this<CallerGateway::Impl> {
  Impl(CallerGatewayEnvironment gatewayEnvironment, std::string prefix)
      : environment(gatewayEnvironment), idPrefix(std::move(prefix)) {}

  std::string nextId() { return idPrefix + std::to_string(++lastId); }

  HttpResponse refusal(base::Reason reason) {
    return refusalResponse({std::move(reason), request::Outcome::kNotRun, {}}, nextId());
  }

  void refuse(const HttpExchangePtr& exchange, RequestKind kind, base::Reason reason) {
    environment.metrics.onRequestFinished(kind, reason.code);
    exchange->respond(refusal(std::move(reason)));
  }

  /// Returns whether the request has this method; refuses the request if it does not.
  bool expectMethod(const HttpExchangePtr& exchange, RequestKind kind, std::string_view method) {
    if (exchange->request().method == method) return true;
    refuse(exchange, kind,
           {base::ResultCode::kMethodNotAllowed, "this path takes " + std::string{method}});
    return false;
  }

  void complete(const HttpExchangePtr& exchange, CompletionKind kind) {
    const auto metricsKind =
        kind == CompletionKind::kChat ? RequestKind::kChat : RequestKind::kText;
    if (!expectMethod(exchange, metricsKind, "POST")) return;
    base::Reason reason;
    const auto headers = parseHeaders(exchange->request(), reason);
    const auto body =
        headers ? parseCompletionBody(kind, exchange->takeBody().text(), reason) : std::nullopt;
    if (!body) {
      refuse(exchange, metricsKind, reason);
      return;
    }
    request::CompletionRequest request;
    request.bearerKey = bearerToken(exchange->request());
    request.model = body->model;
    request.adapter = body->adapter;
    request.prompt = body->prompt;
    request.maximumTokens = body->maximumTokens;
    request.priority = headers->priority;
    request.idempotencyKey = headers->idempotencyKey;
    request.notRepeatable = headers->notRepeatable;
    auto call =
        std::make_unique<CompletionCall>(environment, exchange, *body, makeFinishedCallback());
    auto& started = *call;
    calls.emplace(&started, std::move(call));
    started.start(std::move(request), secondsSinceEpoch());
  }

  void proxy(const HttpExchangePtr& exchange) {
    const auto& call = exchange->request();
    base::Reason reason;
    const auto headers = parseHeaders(call, reason);
    if (!headers) {
      refuse(exchange, RequestKind::kProxied, reason);
      return;
    }
    request::ProxiedRequest request;
    request.bearerKey = bearerToken(call);
    request.method = call.method;
    request.target = call.target;
    for (const auto& field : call.headers) {
      if (isForwarded(field)) request.headers.push_back(field);
    }
    request.body = exchange->takeBody().copy();
    request.idempotencyKey = headers->idempotencyKey;
    request.notRepeatable = headers->notRepeatable;
    auto proxied = std::make_unique<ProxiedCall>(environment, exchange, makeFinishedCallback());
    auto& started = *proxied;
    calls.emplace(&started, std::move(proxied));
    started.start(std::move(request));
  }

  void listModels(const HttpExchangePtr& exchange) {
    if (!expectMethod(exchange, RequestKind::kModels, "GET")) return;
    const auto tenant =
        environment.node.configuration().findByKey(bearerToken(exchange->request()));
    if (!tenant) {
      refuse(exchange, RequestKind::kModels,
             {base::ResultCode::kUnknownTenant, "the bearer key belongs to no tenant"});
      return;
    }
    if (tenant->retired) {
      refuse(exchange, RequestKind::kModels,
             {base::ResultCode::kTenantRetired, "the tenant's template was retired"});
      return;
    }
    environment.metrics.onRequestFinished(RequestKind::kModels, base::ResultCode::kOk);
    auto response = jsonResponse(kOk, modelList(*tenant));
    response.headers.push_back({std::string{kRequestIdHeader}, nextId()});
    exchange->respond(std::move(response));
  }

  /// The callback destroys the call from a timer, because the call is still on the stack when it
  /// finishes.
  CallFinished makeFinishedCallback() {
    return [this](CallerCall& call) {
      environment.timers.schedule(base::Duration::zero(), [weak = weak_from_this(), key = &call] {
        if (const auto self = weak.lock()) self->calls.erase(key);
      });
    };
  }

  CallerGatewayEnvironment environment;
  std::string idPrefix;
  std::uint64_t lastId = 0;
  std::unordered_map<CallerCall*, std::unique_ptr<CallerCall>> calls;
};

CallerGateway::CallerGateway(CallerGatewayEnvironment environment, std::string idPrefix)
    : impl_(std::make_shared<Impl>(environment, std::move(idPrefix))) {}

CallerGateway::~CallerGateway() { impl_->calls.clear(); }

void CallerGateway::handle(const HttpExchangePtr& exchange) {
  const auto path = exchange->request().path();
  if (path == "/v1/chat/completions") {
    impl_->complete(exchange, CompletionKind::kChat);
  } else if (path == "/v1/completions") {
    impl_->complete(exchange, CompletionKind::kText);
  } else if (path == "/v1/models") {
    impl_->listModels(exchange);
  } else {
    impl_->proxy(exchange);
  }
}

HttpResponse CallerGateway::formatRefusal(const base::Reason& reason) {
  return impl_->refusal(reason);
}

}  // namespace covewing::live
