/// \file
/// Messages on the replica-load channel: a node tells the others what it has under way.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "routing/fleet_load.h"

namespace covewing::routing {

struct LoadUpdate {
  /// Grows with each message of one run of the sender.
  std::uint64_t number = 0;
  LoadByReplica load;
};

std::string encode(const LoadUpdate& update);
/// Empty when the bytes are not news of load.
std::optional<LoadUpdate> decodeLoadUpdate(std::string_view bytes);

}  // namespace covewing::routing
