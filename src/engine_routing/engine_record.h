/// \file
/// State of an engine as distributed by gossip: the data that every node needs in order to dispatch
/// requests to it. Records are small and published only on changes; load and cache contents are
/// never distributed this way.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "clients/back_end.h"
#include "clients/engine_client.h"

namespace covewing::engine_routing {

/// Key prefix of engine records, followed by the engine's name in the machine list.
inline constexpr std::string_view kEngineRecordPrefix = "engine/";

/// Value of the gossip record "engine/NAME".
struct EngineRecord {
  base::Incarnation incarnation = 0;
  clients::EngineRole role = clients::EngineRole::kServing;
  bool leaving = false;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
  std::vector<clients::LoadedWeights> weights;
  bool operator==(const EngineRecord&) const = default;
};

std::string engineRecordKey(std::string_view engineName);
std::string encodeEngineRecord(const EngineRecord& record);
/// Empty if `bytes` is not a valid record.
std::optional<EngineRecord> decodeEngineRecord(std::string_view bytes);

/// Returns the version of the next record of an engine. The incarnation is the most significant
/// part, followed by a counter that continues from the known record.
std::uint64_t nextRecordVersion(base::Incarnation incarnation, std::uint64_t knownVersion);

}  // namespace covewing::engine_routing
