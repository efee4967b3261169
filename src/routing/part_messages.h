/// \file
/// Messages on the part-index channel: a node queries the home of a shared prompt part for its
/// holders, the home replies, and nodes report to the home which replicas have prefilled or evicted
/// the part.
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
  /// Chosen by the sender of the query; the reply repeats it.
  std::uint64_t nonce = 0;
  std::uint64_t part = 0;
  /// The reply lists only holders under this scope; the sender cannot use others.
  CacheScope scope = 0;
};

/// A replica or store, and the scope under which it holds a part and every part before it.
struct PartHolder {
  base::EngineId replica;
  CacheScope scope = 0;

  bool operator==(const PartHolder&) const = default;
};

struct PartReply {
  std::uint64_t nonce = 0;
  std::vector<PartHolder> holders;
};

/// Reports that the replica has prefilled a prompt with this part (`held` is true), or no longer
/// holds it.
struct PartUpdate {
  std::uint64_t part = 0;
  PartHolder holder;
  bool held = true;
};

using PartMessage = std::variant<PartQuery, PartReply, PartUpdate>;

std::string encode(const PartMessage& message);
/// Returns nothing if the bytes are not a valid message of this channel.
std::optional<PartMessage> decodePartMessage(std::string_view bytes);

}  // namespace covewing::routing
