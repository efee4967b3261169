/// \file
/// State of an engine as it is spread by gossip: what every node must know to send it work. Small
/// and published only when it changes; load and cache contents never travel this way.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "clients/back_end.h"
#include "clients/engine_client.h"

namespace covewing::routing {

/// Key prefix of engine records; the engine's listed name follows.
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
/// Empty when the bytes are not a record.
std::optional<EngineRecord> decodeEngineRecord(std::string_view bytes);

/// Version of the next record of an engine: the incarnation orders first, then a counter that
/// follows the record known so far.
std::uint64_t nextRecordVersion(base::Incarnation incarnation, std::uint64_t knownVersion);

}  // namespace covewing::routing
