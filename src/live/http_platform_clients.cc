#include "live/http_platform_clients.h"

#include "live/engine_json.h"
#include "live/platform_json.h"

namespace covewing::live {

namespace {

using clients::DispatchFailure;
using clients::ObjectReply;
using clients::ObjectStatus;
using clients::TableReply;
using clients::TableStatus;

constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooManyRequests = 429;

/// Whether the response states that the service did not execute the request.
bool reportsNotRun(const HttpResponse& response) {
  return errorFromJson(response.body, base::ResultCode::kPlatformUnavailable).failure ==
         DispatchFailure::kRefusedNotRun;
}

TableReply toTableReply(const HttpResult& result) {
  if (const auto* error = std::get_if<clients::DispatchError>(&result); error != nullptr) {
    const bool notSent = error->failure == DispatchFailure::kNotSent;
    return {notSent ? TableStatus::kUnavailable : TableStatus::kUnknown, 0, {}};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status == kTooManyRequests) return {TableStatus::kRateLimited, 0, {}};
  if (response.status != kOk && response.status != kConflict)
    return {reportsNotRun(response) ? TableStatus::kUnavailable : TableStatus::kUnknown, 0, {}};
  auto reply = tableReplyFromJson(response.body);
  if (!reply) return {TableStatus::kUnknown, 0, {}};
  reply->status = response.status == kOk ? TableStatus::kOk : TableStatus::kConflict;
  return std::move(*reply);
}

ObjectReply toObjectReply(HttpResult result) {
  if (const auto* error = std::get_if<clients::DispatchError>(&result); error != nullptr) {
    const bool notSent = error->failure == DispatchFailure::kNotSent;
    return {notSent ? ObjectStatus::kUnavailable : ObjectStatus::kUnknown, {}};
  }
  auto& response = std::get<HttpResponse>(result);
  switch (response.status) {
    case kOk:
    case kCreated:
    case kNoContent:
      return {ObjectStatus::kOk, std::move(response.body)};
    case kNotFound:
      return {ObjectStatus::kNotFound, {}};
    case kTooManyRequests:
      return {ObjectStatus::kRateLimited, {}};
    default:
      return {reportsNotRun(response) ? ObjectStatus::kUnavailable : ObjectStatus::kUnknown, {}};
  }
}

std::function<void(HttpResult)> tableHandler(clients::TableCallback callback) {
  return [callback = std::move(callback)](const HttpResult& result) {
    callback(toTableReply(result));
  };
}

std::function<void(HttpResult)> objectHandler(clients::ObjectCallback callback) {
  return [callback = std::move(callback)](HttpResult result) {
    callback(toObjectReply(std::move(result)));
  };
}

}  // namespace

void PlatformService::call(std::string method, std::string target, std::string body,
                           std::function<void(HttpResult)> callback) {
  const HttpRequest request{
      std::move(method),
      std::move(target),
      {{"Content-Type", "application/json"},
       {std::string{kRequestIdHeader}, "platform-" + std::to_string(++lastRequest_)}},
      std::move(body)};
  client_.fetch(endpoint_, request, timeout_, std::move(callback));
}

void HttpTableClient::read(std::vector<std::string> keys, clients::TableCallback callback) {
  service_.call("POST", "/v1/read", tableReadToJson(keys), tableHandler(std::move(callback)));
}

void HttpTableClient::scan(std::string prefix, base::Revision after, std::size_t limit,
                           clients::TableCallback callback) {
  service_.call("POST", "/v1/scan", tableScanToJson(prefix, after, limit),
                tableHandler(std::move(callback)));
}

void HttpTableClient::commit(clients::TableTransaction transaction,
                             clients::TableCallback callback) {
  service_.call("POST", "/v1/commit", tableTransactionToJson(transaction),
                tableHandler(std::move(callback)));
}

void HttpObjectStoreClient::get(std::string name, clients::ObjectCallback callback) {
  service_.call("GET", "/v1/objects/" + name, {}, objectHandler(std::move(callback)));
}

void HttpObjectStoreClient::put(std::string name, std::string bytes,
                                clients::ObjectCallback callback) {
  service_.call("PUT", "/v1/objects/" + name, std::move(bytes), objectHandler(std::move(callback)));
}

void HttpMachineListClient::fetch(clients::MachineListCallback callback) {
  service_.call("GET", "/v1/machines", {},
                [callback = std::move(callback)](const HttpResult& result) {
                  const auto* response = std::get_if<HttpResponse>(&result);
                  const bool succeeded = response != nullptr && response->status == kOk;
                  callback(succeeded ? machinesFromJson(response->body) : std::nullopt);
                });
}

}  // namespace covewing::live
