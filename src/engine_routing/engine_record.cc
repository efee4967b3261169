#include "engine_routing/engine_record.h"

#include <algorithm>

#include "base/codec.h"

namespace covewing::engine_routing {

namespace {
constexpr std::uint64_t kEngineRecordType = 1;
constexpr std::uint32_t kEngineRecordFields = 9;
constexpr std::uint32_t kWeightsFields = 3;
constexpr unsigned kCounterBits = 16;
}  // namespace

std::string engineRecordKey(std::string_view engineName) {
  return std::string(kEngineRecordPrefix) + std::string(engineName);
}

std::string encodeEngineRecord(const EngineRecord& record) {
  base::Writer writer;
  writer.array(kEngineRecordFields).unsignedInteger(kEngineRecordType);
  writer.unsignedInteger(record.incarnation);
  writer.unsignedInteger(static_cast<std::uint64_t>(record.role));
  writer.boolean(record.leaving);
  writer.unsignedInteger(record.endpoint.address);
  writer.unsignedInteger(record.endpoint.port);
  writer.text(record.zone);
  writer.text(record.region);
  writer.array(static_cast<std::uint32_t>(record.weights.size()));
  for (const auto& weights : record.weights) {
    writer.array(kWeightsFields).text(weights.model).unsignedInteger(weights.version);
    writer.array(static_cast<std::uint32_t>(weights.adapters.size()));
    for (const auto& adapter : weights.adapters) writer.text(adapter);
  }
  return writer.take();
}

namespace {

clients::LoadedWeights readWeights(base::Reader& reader) {
  clients::LoadedWeights weights;
  reader.beginArray();
  weights.model = reader.text();
  weights.version = reader.unsignedInteger();
  const std::uint32_t adapters = reader.beginArray();
  for (std::uint32_t index = 0; index < adapters && reader.ok(); ++index) {
    weights.adapters.emplace_back(reader.text());
  }
  reader.endArray();
  reader.endArray();
  return weights;
}

}  // namespace

std::optional<EngineRecord> decodeEngineRecord(std::string_view bytes) {
  base::Reader reader(bytes);
  EngineRecord record;
  reader.beginArray();
  if (reader.unsignedInteger() != kEngineRecordType) return std::nullopt;
  record.incarnation = reader.unsignedInteger();
  const std::uint64_t role = reader.unsignedInteger();
  if (role > static_cast<std::uint64_t>(clients::EngineRole::kStandby)) return std::nullopt;
  record.role = static_cast<clients::EngineRole>(role);
  record.leaving = reader.boolean();
  record.endpoint.address = static_cast<std::uint32_t>(reader.unsignedInteger());
  record.endpoint.port = static_cast<std::uint16_t>(reader.unsignedInteger());
  record.zone = reader.text();
  record.region = reader.text();
  const std::uint32_t count = reader.beginArray();
  for (std::uint32_t index = 0; index < count && reader.ok(); ++index) {
    record.weights.push_back(readWeights(reader));
  }
  if (!reader.ok()) return std::nullopt;
  return record;
}

std::uint64_t nextRecordVersion(base::Incarnation incarnation, std::uint64_t knownVersion) {
  const std::uint64_t first = incarnation << kCounterBits;
  return std::max(first, knownVersion + 1);
}

}  // namespace covewing::engine_routing
