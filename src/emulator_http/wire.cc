#include "emulator_http/wire.h"

#include <array>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "emulator_http/json_fields.h"

namespace covewing::emulator_http {

using base::Reason;
using clients::CacheEventKind;
using clients::EngineRole;
using clients::LoadedWeights;
using clients::MachineKind;
using clients::OrderKind;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 4> kMachineKindNames = {"engine", "application", "node",
                                                               "kept_cache_store"};
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kHashBytes = 8;
constexpr std::uint64_t kDefaultScanLimit = 1000;

void appendHash(std::string& bytes, base::BlockHash block) {
  for (std::size_t byte = 0; byte < kHashBytes; ++byte) {
    bytes += static_cast<char>(block.value >> (byte * kBitsPerByte));
  }
}

/// Encoding of cache events: one packed list of block hashes for each kind, and one character for
/// each event, in the order of the events.
struct PackedEvents {
  std::string stored;
  std::string evicted;
  std::string exported;
  std::string order;

  explicit PackedEvents(const std::vector<clients::CacheEvent>& events) {
    for (const clients::CacheEvent& event : events) add(event);
  }
  void add(const clients::CacheEvent& event) {
    switch (event.kind) {
      case CacheEventKind::kStored:
        appendHash(stored, event.block);
        order += 's';
        return;
      case CacheEventKind::kEvicted:
        appendHash(evicted, event.block);
        order += 'e';
        return;
      case CacheEventKind::kExported:
        appendHash(exported, event.block);
        order += 'x';
        return;
    }
  }
};

std::string_view roleName(EngineRole role) {
  return role == EngineRole::kServing ? "serving" : "standby";
}

std::shared_ptr<const std::string> promptOf(JsonFields& fields) {
  if (!fields.has("prompt_base64")) {
    return std::make_shared<const std::string>(fields.text("prompt"));
  }
  auto bytes = base::decodeBase64(fields.text("prompt_base64"));
  if (!bytes) fields.fail("prompt_base64");
  return std::make_shared<const std::string>(std::move(bytes).value_or(std::string()));
}

LoadedWeights parseWeights(const json& object, Reason& reason, JsonFields& outer) {
  JsonFields fields(object, reason);
  LoadedWeights weights;
  weights.model = fields.text("model");
  weights.version = fields.number("version");
  weights.adapters = fields.textList("adapters");
  if (!fields.ok()) outer.fail("weights." + reason.detail);
  return weights;
}

std::optional<OrderKind> parseOrderKind(std::string_view name) {
  if (name == "load_weights") return OrderKind::kLoadWeights;
  if (name == "unload_weights") return OrderKind::kUnloadWeights;
  if (name == "change_role") return OrderKind::kChangeRole;
  return std::nullopt;
}

json encodeRows(const std::vector<clients::TableRow>& rows) {
  json encoded = json::array();
  for (const clients::TableRow& row : rows) {
    encoded.push_back({{"key", row.key}, {"value", row.value}, {"revision", row.revision}});
  }
  return encoded;
}

}  // namespace

std::optional<clients::EngineRequest> parseEngineRequest(std::string_view body, Reason& reason) {
  const auto object = parseObject(body, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  clients::EngineRequest request;
  request.requestId.value = fields.text("request_id");
  request.attempt = fields.number32("attempt", 1);
  request.identity.tenantSalt = fields.hexadecimal("tenant_salt", 0);
  request.identity.model = fields.text("model");
  request.identity.adapter = fields.text("adapter", {});
  request.identity.weightsVersion = fields.number("weights_version");
  request.incarnation = fields.number("incarnation", 0);
  const auto priority = base::parsePriorityClass(fields.text("priority", "standard"));
  if (!priority) fields.fail("priority");
  request.priority = priority.value_or(base::PriorityClass::kStandard);
  request.prompt = promptOf(fields);
  request.generated = fields.text("generated", {});
  request.nextPosition = fields.number("next_position", 0);
  request.maximumTokens = fields.number32("max_tokens", 0);
  request.importBlocks = fields.number32("import_blocks", 0);
  request.exportBlocks = fields.number32("export_blocks", 0);
  if (!fields.ok()) return std::nullopt;
  return request;
}

std::optional<clients::EngineOrder> parseEngineOrder(std::string_view body, Reason& reason) {
  const auto object = parseObject(body, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  clients::EngineOrder order;
  order.orderId = fields.text("order_id");
  order.fencingToken = fields.number("fencing_token");
  const auto kind = parseOrderKind(fields.text("kind"));
  if (!kind) fields.fail("kind");
  order.kind = kind.value_or(OrderKind::kLoadWeights);
  if (order.kind == OrderKind::kChangeRole) {
    const std::string role = fields.text("role");
    if (role != "serving" && role != "standby") fields.fail("role");
    order.role = role == "standby" ? EngineRole::kStandby : EngineRole::kServing;
  } else if (object->contains("weights") && object->at("weights").is_object()) {
    order.weights = parseWeights(object->at("weights"), reason, fields);
  } else {
    fields.fail("weights");
  }
  if (!fields.ok()) return std::nullopt;
  return order;
}

std::optional<std::vector<std::string>> parseTableRead(std::string_view body, Reason& reason) {
  const auto object = parseObject(body, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  std::vector<std::string> keys = fields.textList("keys");
  if (!fields.ok()) return std::nullopt;
  return keys;
}

std::optional<TableScan> parseTableScan(std::string_view body, Reason& reason) {
  const auto object = parseObject(body, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  TableScan scan;
  scan.prefix = fields.text("prefix", {});
  scan.after = fields.number("after", 0);
  scan.limit = fields.number("limit", kDefaultScanLimit);
  if (!fields.ok()) return std::nullopt;
  return scan;
}

std::optional<clients::TableTransaction> parseTableTransaction(std::string_view body,
                                                               Reason& reason) {
  const auto object = parseObject(body, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  clients::TableTransaction transaction;
  for (const json& each : fields.elements("conditions")) {
    if (!each.is_object()) {
      fields.fail("conditions");
      break;
    }
    JsonFields condition(each, reason);
    transaction.conditions.push_back({condition.text("key"), condition.number("revision")});
    if (!condition.ok()) fields.fail("conditions." + reason.detail);
  }
  for (const json& each : fields.elements("writes")) {
    if (!each.is_object() || !each.contains("value")) {
      fields.fail("writes");
      break;
    }
    JsonFields write(each, reason);
    clients::TableWrite made{write.text("key"), std::nullopt};
    if (!each.at("value").is_null()) made.value = write.text("value");
    transaction.writes.push_back(std::move(made));
    if (!write.ok()) fields.fail("writes." + reason.detail);
  }
  if (!fields.ok()) return std::nullopt;
  return transaction;
}

std::string encodeReport(const clients::EngineReport& report) {
  json weights = json::array();
  for (const LoadedWeights& each : report.weights) {
    weights.push_back(
        {{"model", each.model}, {"version", each.version}, {"adapters", each.adapters}});
  }
  const PackedEvents events(report.events);
  const json body = {
      {"incarnation", report.incarnation},
      {"role", roleName(report.role)},
      {"leaving", report.leaving},
      {"weights", std::move(weights)},
      {"fencing_token", report.fencingToken},
      {"last_order", report.lastOrder},
      {"load",
       {{"running", report.load.running},
        {"waiting", report.load.waiting},
        {"queued_prefill_tokens", report.load.queuedPrefillTokens},
        {"cached_blocks", report.load.cachedBlocks},
        {"capacity_blocks", report.load.capacityBlocks}}},
      {"first_sequence", report.firstSequence},
      {"next_sequence", report.nextSequence},
      {"stored", base::encodeBase64(events.stored)},
      {"evicted", base::encodeBase64(events.evicted)},
      {"exported", base::encodeBase64(events.exported)},
      {"order", events.order},
  };
  return body.dump();
}

std::string encodeOrderReply(const clients::OrderReply& reply) {
  std::string_view status = "invalid";
  if (reply.status == clients::OrderStatus::kAccepted) status = "accepted";
  if (reply.status == clients::OrderStatus::kFencedOff) status = "fenced_off";
  const json body = {
      {"status", status}, {"fencing_token", reply.fencingToken}, {"detail", reply.detail}};
  return body.dump();
}

std::string encodeTableReply(const clients::TableReply& reply) {
  return json{{"revision", reply.revision}, {"rows", encodeRows(reply.rows)}}.dump();
}

std::string_view toString(MachineKind kind) {
  return kMachineKindNames.at(static_cast<std::size_t>(kind));
}

std::optional<MachineKind> parseMachineKind(std::string_view name) {
  for (std::size_t index = 0; index < kMachineKindNames.size(); ++index) {
    if (kMachineKindNames.at(index) == name) return static_cast<MachineKind>(index);
  }
  return std::nullopt;
}

std::string encodeMachines(const std::vector<clients::Machine>& machines) {
  json encoded = json::array();
  for (const clients::Machine& machine : machines) {
    const bool live = machine.state == clients::MachineState::kLive;
    encoded.push_back({{"name", machine.name},
                       {"kind", toString(machine.kind)},
                       {"state", live ? "live" : "leaving"},
                       {"endpoint", base::toString(machine.endpoint)},
                       {"zone", machine.zone},
                       {"region", machine.region},
                       {"application", machine.application}});
  }
  return json{{"machines", std::move(encoded)}}.dump();
}

std::string encodeChunkEvent(const clients::StreamChunk& chunk) {
  return "data: {\"position\": " + std::to_string(chunk.position) +
         ", \"text\": " + json(chunk.text).dump() + "}\n\n";
}

std::string encodeEndEvent(const clients::StreamEnd& end) {
  const json body = {{"end",
                      {{"prompt_tokens", end.promptTokens},
                       {"cached_tokens", end.cachedTokens},
                       {"output_tokens", end.outputTokens},
                       {"finish_reason", end.finishReason}}}};
  return "data: " + body.dump() + "\n\n";
}

live::HttpResponse errorResponse(const Reason& reason, bool mayHaveRun) {
  const json body = {{"code", static_cast<unsigned>(reason.code)},
                     {"detail", reason.detail},
                     {"outcome", mayHaveRun ? "unknown" : "not-run"}};
  const auto replace = json::error_handler_t::replace;
  return live::jsonResponse(base::describe(reason.code).httpStatus,
                            body.dump(-1, ' ', false, replace));
}

}  // namespace covewing::emulator_http
