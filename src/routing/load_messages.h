/// \file
/// Messages of the replica-load channel, on which a node reports its load to the other nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "routing/fleet_load.h"

namespace covewing::routing {

struct LoadUpdate {
  /// Increases with each message of one incarnation of the sender.
  std::uint64_t number = 0;
  LoadByReplica load;
};

std::string encode(const LoadUpdate& update);
/// Empty if `bytes` is not a valid load update.
std::optional<LoadUpdate> decodeLoadUpdate(std::string_view bytes);

}  // namespace covewing::routing
