#include "live/engine_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "config/json_fields.h"
#include "live/utf8.h"

namespace covewing::live {

namespace {

using config::FieldReader;
using config::Json;
using Mistakes = std::vector<config::FieldMistake>;

constexpr config::JsonBounds kEventBounds{1U << 20U, 4};
constexpr config::JsonBounds kReportBounds{64U << 20U, 6};
constexpr config::JsonBounds kErrorBounds{1U << 20U, 4};
constexpr std::size_t kMaximumName = 256;
constexpr std::size_t kMaximumModels = 1024;
constexpr std::size_t kMaximumAdapters = 4096;
constexpr std::size_t kMaximumPackedText = 64U << 20U;
constexpr std::uint64_t kMaximumCount = UINT32_MAX;
constexpr std::size_t kHashBytes = 8;
constexpr unsigned kBitsPerByte = 8;

std::string hexadecimal(std::uint64_t value) { return fmt::format("{:016x}", value); }

Json weightsToJson(const clients::LoadedWeights& weights) {
  return {{"model", weights.model}, {"version", weights.version}, {"adapters", weights.adapters}};
}

std::string_view nameOf(clients::OrderKind kind) {
  switch (kind) {
    case clients::OrderKind::kLoadWeights:
      return "load_weights";
    case clients::OrderKind::kUnloadWeights:
      return "unload_weights";
    case clients::OrderKind::kChangeRole:
      return "change_role";
  }
  return "";
}

std::string_view nameOf(clients::EngineRole role) {
  return role == clients::EngineRole::kServing ? "serving" : "standby";
}

std::uint32_t readCount(FieldReader& fields, std::string_view name) {
  return static_cast<std::uint32_t>(fields.unsignedInteger(name, 0, 0, kMaximumCount));
}

/// Reads an array field of exactly `values.size()` unsigned numbers into `values`.
template <class Array>
void readArray(FieldReader& fields, std::string_view name, Array& values) {
  const auto elements = fields.elements(name, values.size());
  if (elements.size() != values.size()) {
    fields.mistake(name, "must have one number for each priority class");
    return;
  }
  for (std::size_t index = 0; index < values.size(); ++index) {
    if (!elements[index]->is_number_unsigned()) {
      fields.mistake(name, "must hold unsigned numbers");
      return;
    }
    values[index] = elements[index]->template get<typename Array::value_type>();
  }
}

clients::LoadedWeights readWeights(const Json& json, Mistakes& mistakes) {
  FieldReader fields(json, "weights", mistakes);
  clients::LoadedWeights weights;
  weights.model = fields.text("model", "", kMaximumName);
  weights.version = fields.unsignedInteger("version", 0, 0, UINT64_MAX);
  weights.adapters = fields.texts("adapters", kMaximumAdapters, kMaximumName);
  return weights;
}

clients::EngineLoad readLoad(const Json& json, Mistakes& mistakes) {
  FieldReader fields(json, "load", mistakes);
  clients::EngineLoad load;
  load.running = readCount(fields, "running");
  readArray(fields, "waiting", load.waiting);
  readArray(fields, "queued_prefill_tokens", load.queuedPrefillTokens);
  load.cachedBlocks = readCount(fields, "cached_blocks");
  load.capacityBlocks = readCount(fields, "capacity_blocks");
  return load;
}

std::vector<base::BlockHash> unpackHashes(FieldReader& fields, std::string_view name) {
  const auto bytes = base::decodeBase64(fields.text(name, "", kMaximumPackedText));
  if (!bytes || bytes->size() % kHashBytes != 0) {
    fields.mistake(name, "must be 64-bit words in Base64");
    return {};
  }
  std::vector<base::BlockHash> hashes(bytes->size() / kHashBytes);
  for (std::size_t index = 0; index < bytes->size(); ++index) {
    const auto byte = static_cast<std::uint64_t>(static_cast<unsigned char>((*bytes)[index]));
    hashes[index / kHashBytes].value |= byte << (kBitsPerByte * (index % kHashBytes));
  }
  return hashes;
}

/// Hashes of one kind of cache event, consumed from the front.
struct HashCursor {
  std::vector<base::BlockHash> hashes;
  std::size_t consumed = 0;
  bool empty() const { return consumed == hashes.size(); }
};

void readEvents(FieldReader& fields, clients::EngineReport& report) {
  HashCursor stored{unpackHashes(fields, "stored")};
  HashCursor evicted{unpackHashes(fields, "evicted")};
  HashCursor exported{unpackHashes(fields, "exported")};
  auto order = fields.text("order", "", kMaximumPackedText);
  const bool onlyStored = evicted.empty() && exported.empty();
  if (order.empty() && onlyStored) order.assign(stored.hashes.size(), 's');
  report.events.reserve(order.size());
  for (const char character : order) {
    auto& queue = character == 's' ? stored : character == 'e' ? evicted : exported;
    const auto kind = character == 's'   ? clients::CacheEventKind::kStored
                      : character == 'e' ? clients::CacheEventKind::kEvicted
                                         : clients::CacheEventKind::kExported;
    if (queue.empty() || std::string_view{"sex"}.find(character) == std::string_view::npos) {
      fields.mistake("order", "does not fit the events");
      return;
    }
    report.events.push_back({kind, queue.hashes[queue.consumed++]});
  }
  if (!stored.empty() || !evicted.empty() || !exported.empty())
    fields.mistake("order", "does not name every event");
}

const base::ResultCodeEntry* findCode(std::uint64_t number) {
  const auto table = base::resultCodeTable();
  const auto entry = std::ranges::find_if(table, [number](const base::ResultCodeEntry& candidate) {
    return static_cast<std::uint64_t>(candidate.code) == number;
  });
  return entry == table.end() ? nullptr : &*entry;
}

}  // namespace

std::string engineRequestToJson(const clients::EngineRequest& request) {
  Json json = {{"request_id", request.requestId.value},
               {"attempt", request.attempt},
               {"tenant_salt", hexadecimal(request.identity.tenantSalt)},
               {"model", request.identity.model},
               {"adapter", request.identity.adapter},
               {"weights_version", request.identity.weightsVersion},
               {"incarnation", request.incarnation},
               {"priority", base::toString(request.priority)},
               {"generated", request.generated},
               {"next_position", request.nextPosition},
               {"max_tokens", request.maximumTokens},
               {"import_blocks", request.importBlocks},
               {"export_blocks", request.exportBlocks}};
  const std::string_view prompt = request.prompt ? std::string_view{*request.prompt} : "";
  if (isValidUtf8(prompt)) {
    json["prompt"] = prompt;
  } else {
    json["prompt_base64"] = base::encodeBase64(prompt);
  }
  return config::toText(json);
}

std::optional<std::variant<clients::StreamChunk, clients::StreamEnd>> streamEventFromJson(
    std::string_view text) {
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kEventBounds, mistakes);
  if (!json) return std::nullopt;
  FieldReader fields(*json, "", mistakes);
  if (const auto* endJson = fields.find("end"); endJson != nullptr) {
    FieldReader endFields(*endJson, "end", mistakes);
    clients::StreamEnd end;
    end.promptTokens = readCount(endFields, "prompt_tokens");
    end.cachedTokens = readCount(endFields, "cached_tokens");
    end.outputTokens = readCount(endFields, "output_tokens");
    end.finishReason = endFields.text("finish_reason", "stop", kMaximumName);
    if (!mistakes.empty()) return std::nullopt;
    return end;
  }
  if (fields.find("position") == nullptr || fields.find("text") == nullptr) return std::nullopt;
  clients::StreamChunk chunk;
  chunk.position = fields.unsignedInteger("position", 0, 0, UINT64_MAX);
  chunk.text = fields.text("text", "", kEventBounds.maximumBytes);
  if (!mistakes.empty()) return std::nullopt;
  return chunk;
}

std::optional<clients::EngineReport> engineReportFromJson(std::string_view text) {
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kReportBounds, mistakes);
  if (!json) return std::nullopt;
  FieldReader fields(*json, "", mistakes);
  clients::EngineReport report;
  report.incarnation = fields.unsignedInteger("incarnation", 0, 0, UINT64_MAX);
  const auto role = fields.choice("role", 0, {"serving", "standby"});
  report.role = role == 0 ? clients::EngineRole::kServing : clients::EngineRole::kStandby;
  report.leaving = fields.boolean("leaving", false);
  for (const Json* weights : fields.elements("weights", kMaximumModels))
    report.weights.push_back(readWeights(*weights, mistakes));
  report.fencingToken = fields.unsignedInteger("fencing_token", 0, 0, UINT64_MAX);
  report.lastOrder = fields.text("last_order", "", kMaximumName);
  if (const auto* load = fields.find("load"); load != nullptr)
    report.load = readLoad(*load, mistakes);
  report.firstSequence = fields.unsignedInteger("first_sequence", 0, 0, UINT64_MAX);
  report.nextSequence = fields.unsignedInteger("next_sequence", 0, 0, UINT64_MAX);
  readEvents(fields, report);
  if (!mistakes.empty()) return std::nullopt;
  return report;
}

std::string engineOrderToJson(const clients::EngineOrder& order) {
  return config::toText(Json({{"order_id", order.orderId},
                              {"fencing_token", order.fencingToken},
                              {"kind", nameOf(order.kind)},
                              {"weights", weightsToJson(order.weights)},
                              {"role", nameOf(order.role)}}));
}

clients::OrderReply orderReplyFromJson(std::string_view text) {
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kErrorBounds, mistakes);
  if (!json) return {};
  FieldReader fields(*json, "", mistakes);
  constexpr std::size_t kUnknownChoice = 3;
  const auto status =
      fields.choice("status", kUnknownChoice, {"accepted", "fenced_off", "invalid"});
  clients::OrderReply reply;
  reply.fencingToken = fields.unsignedInteger("fencing_token", 0, 0, UINT64_MAX);
  reply.detail = fields.text("detail", "", kErrorBounds.maximumBytes);
  if (!mistakes.empty() || status == kUnknownChoice) return {};
  reply.status = status == 0   ? clients::OrderStatus::kAccepted
                 : status == 1 ? clients::OrderStatus::kFencedOff
                               : clients::OrderStatus::kInvalid;
  return reply;
}

clients::DispatchError errorFromJson(std::string_view text, base::ResultCode fallback) {
  clients::DispatchError error{clients::DispatchFailure::kOutcomeUnknown, {fallback, ""}};
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kErrorBounds, mistakes);
  if (!json || !json->is_object()) {
    error.reason.detail = "an error answer without a readable body";
    return error;
  }
  FieldReader fields(*json, "", mistakes);
  const auto* entry = findCode(fields.unsignedInteger("code", 0, 0, UINT16_MAX));
  if (entry != nullptr && entry->code != base::ResultCode::kOk) error.reason.code = entry->code;
  error.reason.detail = fields.text("detail", "", kErrorBounds.maximumBytes);
  if (fields.text("outcome", "unknown", kMaximumName) == "not-run")
    error.failure = clients::DispatchFailure::kRefusedNotRun;
  return error;
}

}  // namespace covewing::live
