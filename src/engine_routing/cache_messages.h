/// \file
/// Messages of the cache-index channel: a router sends a lookup request to an engine's home, the
/// home replies, and the router announces the engine to which it dispatched the request. The
/// encoding is compact, since the control traffic of a node is limited by a budget: engines are
/// identified by the upper half of their id, and integers take as few bytes as their value needs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "prefix/checkpoints.h"

namespace covewing::engine_routing {

/// Shortened engine id that is used on this channel.
using ShortEngineId = std::uint32_t;
constexpr ShortEngineId shortIdOf(base::EngineId engine) {
  return static_cast<ShortEngineId>(engine.value >> 32U);
}

/// Requests the state of some engines with respect to one prompt.
struct LookupRequest {
  /// Chosen by the router; the reply and the dispatch notice carry the same id.
  std::uint64_t lookupId = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::vector<ShortEngineId> engines;
  prefix::Checkpoints checkpoints;
};

struct LookupEntry {
  ShortEngineId engine = 0;
  /// True if the home tracks this engine and the engine responds. If false, the other fields are
  /// not valid.
  bool known = false;
  bool doubtful = false;
  std::uint32_t matchedBlocks = 0;
  /// Prompt tokens that the engine will compute before a request of the given priority.
  std::uint32_t tokensAhead = 0;
  /// Number of requests that are running or waiting at the engine.
  std::uint32_t requests = 0;
  base::Incarnation incarnation = 0;
};

struct LookupReply {
  std::uint64_t lookupId = 0;
  /// Number of leading blocks that other requests contained recently, which makes the prefix worth
  /// keeping.
  std::uint32_t recentlyRequestedBlocks = 0;
  /// Number of leading blocks that are estimated to be in the external KV cache store.
  std::uint32_t exportedBlocks = 0;
  std::vector<LookupEntry> entries;
};

/// Announces that the request of `lookupId` was dispatched to `engine`, where its blocks will be
/// cached and its uncached tokens are queued.
struct DispatchNotice {
  std::uint64_t lookupId = 0;
  ShortEngineId engine = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::uint32_t uncachedTokens = 0;
};

using CacheMessage = std::variant<LookupRequest, LookupReply, DispatchNotice>;

std::string encode(const LookupRequest& request);
std::string encode(const LookupReply& reply);
std::string encode(const DispatchNotice& notice);
/// Empty if `bytes` is not a valid encoding of any of these messages.
std::optional<CacheMessage> decodeCacheMessage(std::string_view bytes);

}  // namespace covewing::engine_routing
