// The admin service of an emulated fleet: accepts actions and reports endpoints, status and
// executions.
#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "emulator/hexadecimal.h"
#include "emulator_http/emulated_fleet.h"
#include "emulator_http/json_fields.h"
#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using base::Reason;
using base::ResultCode;
using emulator::ExecutionLogEntry;
using emulator::ExecutionLogKind;
using emulator::toHexadecimal;
using live::HttpExchangePtr;
using nlohmann::json;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr std::size_t kDefaultExecutionLimit = 10'000;
constexpr std::array<std::string_view, 8> kLogKindNames = {
    "refused", "accepted", "started", "completed", "cancelled", "crashed", "application", "order"};

std::uint64_t queryNumber(const live::HttpRequest& request, std::string_view key,
                          std::uint64_t fallback) {
  const std::string_view text = live::findQueryValue(request.query(), key);
  std::uint64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

json encodeIdentity(const clients::CacheIdentity& identity) {
  return {{"tenant_salt", toHexadecimal(identity.tenantSalt)},
          {"model", identity.model},
          {"adapter", identity.adapter},
          {"weights_version", identity.weightsVersion}};
}

void addEngineFields(json& encoded, const ExecutionLogEntry& entry) {
  encoded["incarnation"] = entry.incarnation;
  encoded["identity"] = encodeIdentity(entry.identity);
  encoded["prompt_hash"] = toHexadecimal(entry.promptHash);
  encoded["prompt_tokens"] = entry.promptTokens;
  encoded["first_position"] = entry.firstPosition;
  encoded["generated_matches"] = entry.generatedMatches;
  if (entry.kind != ExecutionLogKind::kStarted) return;
  encoded["local_blocks"] = entry.localBlocks;
  encoded["imported_blocks"] = entry.importedBlocks;
  encoded["reuse_mismatch"] = entry.reuseMismatch;
}

json encodeEntry(const ExecutionLogEntry& entry, std::string_view backEnd) {
  json encoded = {{"number", entry.number},
                  {"kind", kLogKindNames.at(static_cast<std::size_t>(entry.kind))},
                  {"at_us", entry.at.time_since_epoch().count()},
                  {"back_end", backEnd},
                  {"request_id", entry.requestId}};
  switch (entry.kind) {
    case ExecutionLogKind::kApplication:
      encoded["application"] = entry.application;
      encoded["method"] = entry.method;
      encoded["target"] = entry.target;
      encoded["idempotency_key"] = entry.idempotencyKey;
      encoded["body_hash"] = toHexadecimal(entry.bodyHash);
      break;
    case ExecutionLogKind::kOrder:
      encoded["fencing_token"] = entry.fencingToken;
      encoded["detail"] = entry.detail;
      break;
    case ExecutionLogKind::kRefused:
      encoded["attempt"] = entry.attempt;
      encoded["detail"] = entry.detail;
      break;
    default:
      encoded["attempt"] = entry.attempt;
      addEngineFields(encoded, entry);
  }
  return encoded;
}

json encodeLoad(const clients::EngineLoad& load) {
  return {{"running", load.running},
          {"waiting", load.waiting},
          {"queued_prefill_tokens", load.queuedPrefillTokens},
          {"cached_blocks", load.cachedBlocks},
          {"capacity_blocks", load.capacityBlocks}};
}

json encodeWeights(const std::vector<clients::LoadedWeights>& weights) {
  json encoded = json::array();
  for (const clients::LoadedWeights& each : weights) {
    encoded.push_back(
        {{"model", each.model}, {"version", each.version}, {"adapters", each.adapters}});
  }
  return encoded;
}

json encodeTotals(const emulator::ReuseTotals& totals) {
  return {{"executions", totals.executions},
          {"prompt_tokens", totals.promptTokens},
          {"reused_tokens", totals.reusedTokens},
          {"imported_tokens", totals.importedTokens},
          {"recomputed_though_cached_elsewhere", totals.recomputedThoughCachedElsewhere}};
}

json encodeConditions(const emulator::ServiceConditions& conditions) {
  return {{"admitted", conditions.admitted()},
          {"rate_limited", conditions.rateLimited()},
          {"answers_lost", conditions.answersLost()}};
}

std::string dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string_view EmulatedFleet::nameOf(base::EngineId backEnd) const {
  for (const auto& machine : machines_) {
    if (base::engineIdOf(machine->place.name) == backEnd) return machine->place.name;
  }
  return {};
}

void EmulatedFleet::handleAdmin(const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  const std::string_view path = request.path();
  if (path == "/admin/actions" && request.method == "POST") return handleActions(exchange);
  if (path == "/admin/executions" && request.method == "GET") return handleExecutions(exchange);
  if (path == "/admin/status" && request.method == "GET") {
    return exchange->respond(live::jsonResponse(kStatusOk, statusJson()));
  }
  if (path == "/admin/endpoints" && request.method == "GET") {
    return exchange->respond(live::jsonResponse(kStatusOk, endpointsJson()));
  }
  exchange->respond(errorResponse(Reason{ResultCode::kUnknownPath, std::string(path)}, false));
}

void EmulatedFleet::handleActions(const HttpExchangePtr& exchange) {
  Reason reason;
  const auto object = parseObject(exchange->request().body.text(), reason);
  std::optional<Action> action;
  if (object) action = parseAction(*object, reason);
  if (!action || !apply(*action, reason)) {
    exchange->respond(errorResponse(reason, false));
    return;
  }
  exchange->respond(live::jsonResponse(kStatusOk, R"({"status": "done"})"));
}

void EmulatedFleet::handleExecutions(const HttpExchangePtr& exchange) {
  const live::HttpRequest& request = exchange->request();
  const std::uint64_t from = queryNumber(request, "from", 0);
  const std::uint64_t limit = queryNumber(request, "limit", kDefaultExecutionLimit);
  exchange->respond(live::jsonResponse(kStatusOk, executionsJson(from, limit)));
}

std::string EmulatedFleet::executionsJson(std::uint64_t from, std::size_t limit) const {
  const auto& entries = log_.entries();
  const std::uint64_t first = log_.nextNumber() - entries.size();
  const std::uint64_t begin = std::max(from, first);
  json encoded = json::array();
  std::uint64_t number = begin;
  for (; number < log_.nextNumber() && encoded.size() < limit; ++number) {
    const ExecutionLogEntry& entry = entries[number - first];
    encoded.push_back(encodeEntry(entry, nameOf(entry.backEnd)));
  }
  return dump({{"first", begin}, {"next", number}, {"executions", std::move(encoded)}});
}

std::string EmulatedFleet::endpointsJson() const {
  json engines = json::array();
  json applications = json::array();
  for (const auto& machine : machines_) {
    json encoded = {{"name", machine->place.name},
                    {"zone", machine->place.zone},
                    {"endpoint", base::toString(machine->host->endpoint())}};
    if (machine->engine != nullptr) {
      engines.push_back(std::move(encoded));
      continue;
    }
    encoded["application"] = machine->place.application;
    applications.push_back(std::move(encoded));
  }
  return dump({{"fleet", options_.fleet.name},
               {"region", options_.fleet.region},
               {"zones", options_.fleet.zones},
               {"admin", base::toString(admin_->endpoint())},
               {"table", base::toString(table_->endpoint())},
               {"object_store", base::toString(objectStore_->endpoint())},
               {"machine_list", base::toString(machineList_->endpoint())},
               {"engines", std::move(engines)},
               {"applications", std::move(applications)}});
}

std::string EmulatedFleet::statusJson() {
  json engines = json::array();
  json applications = json::array();
  for (const auto& machine : machines_) {
    json encoded = {{"name", machine->place.name}, {"up", machine->host->isUp()}};
    if (const emulator::EngineModel* engine = machine->engine) {
      encoded["incarnation"] = engine->incarnation();
      encoded["leaving"] = engine->isLeaving();
      encoded["paused"] = engine->isPaused();
      encoded["weights"] = encodeWeights(engine->weights());
      encoded["load"] = encodeLoad(engine->currentLoad());
      engines.push_back(std::move(encoded));
      continue;
    }
    encoded["leaving"] = machine->application->isLeaving();
    encoded["executions"] = machine->application->executions();
    applications.push_back(std::move(encoded));
  }
  return dump({{"engines", std::move(engines)},
               {"applications", std::move(applications)},
               {"reuse", encodeTotals(census_.totals())},
               {"table", encodeConditions(fleet_.table().conditions())},
               {"object_store", encodeConditions(fleet_.objectStore().conditions())},
               {"machine_list", encodeConditions(fleet_.machineList().conditions())},
               {"weight_store_peak_loads", fleet_.weightStore().peakLoads()}});
}

}  // namespace covewing::emulator_http
