#include "live/platform_json.h"

#include <nlohmann/json.hpp>

#include "config/json_fields.h"

namespace covewing::live {

namespace {

using config::FieldReader;
using config::Json;
using Mistakes = std::vector<config::FieldMistake>;

constexpr config::JsonBounds kTableBounds{64U << 20U, 6};
constexpr config::JsonBounds kMachinesBounds{16U << 20U, 6};
constexpr std::size_t kMaximumRows = 1U << 20U;
constexpr std::size_t kMaximumMachines = 100'000;
constexpr std::size_t kMaximumName = 256;

clients::Machine readMachine(const Json& json, Mistakes& mistakes) {
  FieldReader fields(json, "machines", mistakes);
  clients::Machine machine;
  machine.name = fields.text("name", "", kMaximumName);
  machine.kind = static_cast<clients::MachineKind>(
      fields.choice("kind", 0, {"engine", "application", "node", "kept_cache_store"}));
  machine.state =
      static_cast<clients::MachineState>(fields.choice("state", 0, {"live", "leaving"}));
  const auto endpoint = base::parseEndpoint(fields.text("endpoint", "", kMaximumName));
  if (!endpoint) fields.mistake("endpoint", "must be an address such as 10.0.0.1:80");
  machine.endpoint = endpoint.value_or(base::Endpoint{});
  machine.zone = fields.text("zone", "", kMaximumName);
  machine.region = fields.text("region", "", kMaximumName);
  machine.application = fields.text("application", "", kMaximumName);
  return machine;
}

}  // namespace

std::string tableReadToJson(const std::vector<std::string>& keys) {
  return config::toText(Json({{"keys", keys}}));
}

std::string tableScanToJson(std::string_view prefix, base::Revision after, std::size_t limit) {
  return config::toText(Json({{"prefix", prefix}, {"after", after}, {"limit", limit}}));
}

std::string tableTransactionToJson(const clients::TableTransaction& transaction) {
  Json conditions = Json::array();
  for (const auto& condition : transaction.conditions)
    conditions.push_back({{"key", condition.key}, {"revision", condition.revision}});
  Json writes = Json::array();
  for (const auto& write : transaction.writes)
    writes.push_back({{"key", write.key}, {"value", write.value ? Json(*write.value) : Json()}});
  return config::toText(Json({{"conditions", conditions}, {"writes", writes}}));
}

std::optional<clients::TableReply> tableReplyFromJson(std::string_view text) {
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kTableBounds, mistakes);
  if (!json) return std::nullopt;
  FieldReader fields(*json, "", mistakes);
  clients::TableReply reply;
  reply.revision = fields.unsignedInteger("revision", 0, 0, UINT64_MAX);
  for (const Json* element : fields.elements("rows", kMaximumRows)) {
    FieldReader row(*element, "rows", mistakes);
    reply.rows.push_back({row.text("key", "", kTableBounds.maximumBytes),
                          row.text("value", "", kTableBounds.maximumBytes),
                          row.unsignedInteger("revision", 0, 0, UINT64_MAX)});
  }
  if (!mistakes.empty()) return std::nullopt;
  return reply;
}

std::optional<std::vector<clients::Machine>> machinesFromJson(std::string_view text) {
  Mistakes mistakes;
  const auto json = config::parseBoundedJson(text, kMachinesBounds, mistakes);
  if (!json) return std::nullopt;
  FieldReader fields(*json, "", mistakes);
  std::vector<clients::Machine> machines;
  for (const Json* element : fields.elements("machines", kMaximumMachines))
    machines.push_back(readMachine(*element, mistakes));
  if (!mistakes.empty()) return std::nullopt;
  return machines;
}

}  // namespace covewing::live
