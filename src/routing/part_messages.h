/// \file
/// Messages on the part-index channel: a node asks the home of a shared part of a prompt who holds
/// it, the home answers, and nodes tell the home which replicas have read it and which dropped it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "routing/prefix_holders.h"

namespace covewing::routing {

struct PartQuery {
  /// Chosen by the asker; the answer carries it.
  std::uint64_t nonce = 0;
  std::uint64_t part = 0;
  /// Only holders under this scope are of use to the asker.
  CacheScope scope = 0;
};

/// A replica and the scope under which it holds a part, with every part before it.
struct PartHolder {
  base::EngineId replica;
  CacheScope scope = 0;

  bool operator==(const PartHolder&) const = default;
};

struct PartReply {
  std::uint64_t nonce = 0;
  std::vector<PartHolder> holders;
};

/// The replica has read a prompt with this part, or no longer holds it.
struct PartUpdate {
  std::uint64_t part = 0;
  PartHolder holder;
  bool held = true;
};

using PartMessage = std::variant<PartQuery, PartReply, PartUpdate>;

std::string encode(const PartMessage& message);
/// Empty when the bytes are none of these messages.
std::optional<PartMessage> decodePartMessage(std::string_view bytes);

}  // namespace covewing::routing
