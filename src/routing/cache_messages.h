/// \file
/// Messages on the cache-index channel: a router asks an engine's home, the home answers, and the
/// router announces where it sent the request. Packed small, since control traffic has a budget a
/// node: engines travel as the upper half of their id, numbers in as few bytes as they need.
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

namespace covewing::routing {

/// Short form of an engine's id on this channel.
using ShortEngineId = std::uint32_t;
constexpr ShortEngineId shortIdOf(base::EngineId engine) {
  return static_cast<ShortEngineId>(engine.value >> 32U);
}

/// What a home knows of some engines and one prompt.
struct LookupRequest {
  /// Chosen by the router; the answer and the announcement carry it.
  std::uint64_t lookupId = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::vector<ShortEngineId> engines;
  prefix::Checkpoints checkpoints;
};

struct LookupEntry {
  ShortEngineId engine = 0;
  /// The home follows this engine and it answers; nothing else counts when false.
  bool known = false;
  bool doubtful = false;
  std::uint32_t matchedBlocks = 0;
  /// Prompt tokens computed before a request of the asked priority.
  std::uint32_t tokensAhead = 0;
  /// Requests running or waiting there.
  std::uint32_t requests = 0;
  base::Incarnation incarnation = 0;
};

struct LookupReply {
  std::uint64_t lookupId = 0;
  /// Leading blocks that other requests asked for lately: a prefix worth keeping.
  std::uint32_t recentlyRequestedBlocks = 0;
  /// Leading blocks believed to be in the store of kept KV cache.
  std::uint32_t exportedBlocks = 0;
  std::vector<LookupEntry> entries;
};

/// The request of `lookupId` went to `engine`: its blocks will be cached there and its uncached
/// tokens are queued there.
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
/// Empty when the bytes are none of these messages.
std::optional<CacheMessage> decodeCacheMessage(std::string_view bytes);

}  // namespace covewing::routing
