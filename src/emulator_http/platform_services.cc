#include "emulator_http/platform_services.h"

#include <utility>

#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using base::Reason;
using base::ResultCode;
using clients::ObjectStatus;
using clients::TableStatus;
using live::HttpExchangePtr;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr std::string_view kObjectPrefix = "/v1/objects/";

void refuse(const HttpExchangePtr& exchange, ResultCode code, std::string detail) {
  exchange->respond(errorResponse(Reason{code, std::move(detail)}, false));
}

void respondWithTable(const HttpExchangePtr& exchange, const clients::TableReply& reply) {
  switch (reply.status) {
    case TableStatus::kOk:
      exchange->respond(live::jsonResponse(kStatusOk, encodeTableReply(reply)));
      return;
    case TableStatus::kConflict:
      exchange->respond(live::jsonResponse(kStatusConflict, encodeTableReply(reply)));
      return;
    case TableStatus::kRateLimited:
      exchange->respond(errorResponse(Reason{ResultCode::kPlatformRateLimited, "table"}, false));
      return;
    case TableStatus::kUnavailable:
      refuse(exchange, ResultCode::kPlatformUnavailable, "table");
      return;
    case TableStatus::kUnknown:
      exchange->abort();
      return;
  }
}

void respondWithObject(const HttpExchangePtr& exchange, clients::ObjectReply reply) {
  switch (reply.status) {
    case ObjectStatus::kOk:
      exchange->respond(
          {kStatusOk, {{"Content-Type", "application/octet-stream"}}, std::move(reply.bytes)});
      return;
    case ObjectStatus::kNotFound:
      exchange->respond(live::jsonResponse(kStatusNotFound, "{}"));
      return;
    case ObjectStatus::kRateLimited:
      refuse(exchange, ResultCode::kPlatformRateLimited, "object store");
      return;
    case ObjectStatus::kUnavailable:
      refuse(exchange, ResultCode::kPlatformUnavailable, "object store");
      return;
    case ObjectStatus::kUnknown:
      exchange->abort();
      return;
  }
}

}  // namespace

void handleTableCall(emulator::TableModel& table, const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  const std::string_view path = request.path();
  const auto callback = [exchange](const clients::TableReply& reply) {
    respondWithTable(exchange, reply);
  };
  Reason reason;
  if (request.method != "POST") {
    return refuse(exchange, ResultCode::kMethodNotAllowed, request.method);
  }
  if (path == "/v1/read") {
    auto keys = parseTableRead(request.body, reason);
    if (keys) return table.read(*std::move(keys), callback);
  } else if (path == "/v1/scan") {
    auto scan = parseTableScan(request.body, reason);
    if (scan) return table.scan(std::move(scan->prefix), scan->after, scan->limit, callback);
  } else if (path == "/v1/commit") {
    auto transaction = parseTableTransaction(request.body, reason);
    if (transaction) return table.commit(*std::move(transaction), callback);
  } else {
    reason = Reason{ResultCode::kUnknownPath, std::string(path)};
  }
  exchange->respond(errorResponse(reason, false));
}

void handleObjectCall(emulator::ObjectStoreModel& store, const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  const std::string_view path = request.path();
  if (!path.starts_with(kObjectPrefix) || path.size() == kObjectPrefix.size()) {
    return refuse(exchange, ResultCode::kUnknownPath, std::string(path));
  }
  std::string name(path.substr(kObjectPrefix.size()));
  const auto callback = [exchange](clients::ObjectReply reply) {
    respondWithObject(exchange, std::move(reply));
  };
  if (request.method == "GET") return store.get(std::move(name), callback);
  if (request.method == "PUT")
    return store.put(std::move(name), exchange->takeBody().copy(), callback);
  refuse(exchange, ResultCode::kMethodNotAllowed, request.method);
}

void handleMachineListCall(emulator::MachineListModel& list, const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  if (request.path() != "/v1/machines" || request.method != "GET") {
    return refuse(exchange, ResultCode::kUnknownPath, std::string(request.path()));
  }
  list.fetch([exchange](const auto& machines) {
    if (!machines) {
      refuse(exchange, ResultCode::kPlatformUnavailable, "machine list");
      return;
    }
    exchange->respond(live::jsonResponse(kStatusOk, encodeMachines(*machines)));
  });
}

}  // namespace covewing::emulator_http
