/// \file
/// Messages on the placement channel: a node asks the home of a replica whether a request should
/// go there, the home answers, and nodes tell it what they sent and what became of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "prefix/part_chain.h"
#include "routing/prefix_holders.h"

namespace covewing::routing {

/// What a request takes of a replica, and what the replica has in all.
struct PlacementWork {
  /// Tokens of memory for the prompt and the longest answer.
  std::uint32_t tokens = 0;
  /// Tokens of the prompt that the replica must read, as far as the sender knows.
  std::uint32_t unread = 0;
  /// Requests that the replica runs at once; 0: not known.
  std::uint32_t slots = 0;
  /// Tokens of memory that requests may fill; 0: not known or without meaning.
  std::uint32_t memory = 0;

  bool operator==(const PlacementWork&) const = default;
};

enum class PlacementOutcome : std::uint8_t {
  kServed = 1,
  /// The replica said that it did not run the request for lack of room.
  kRefused = 2,
  /// A failure of the replica's own, a broken answer, or silence.
  kFailed = 3,
  /// No connection could be had.
  kUnreachable = 4,
  /// The caller left, or the request ended for a reason that says nothing of the replica.
  kWithdrawn = 5,
};

struct PlacementQuestion {
  /// Chosen by the asker; names the grant too.
  std::uint64_t id = 0;
  base::EngineId replica;
  /// Empty for requests without a prompt.
  std::string model;
  CacheScope scope = 0;
  /// The shared parts of the prompt.
  std::vector<prefix::PromptPart> parts;
  /// Tokens of the whole prompt.
  std::uint32_t promptTokens = 0;
  PlacementWork work;
  /// The request is granted where the expected wait is at most this.
  base::Duration patience{};
};

struct PlacementAnswer {
  std::uint64_t id = 0;
  base::EngineId replica;
  bool granted = false;
  /// False where the replica should not get the request: it fails, leaves, changes its weights, or
  /// has no room.
  bool usable = true;
  base::Duration wait{};
  /// Version of the model's weights at the replica, as far as the home knows; 0: not known.
  base::WeightsVersion version = 0;
  /// Leading shared tokens that the home believes cached at the replica.
  std::uint32_t matchedTokens = 0;
};

/// A request is sent to the replica though its home did not grant it.
struct PlacementTaken {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementWork work;
};

struct PlacementBegun {
  std::uint64_t id = 0;
  base::EngineId replica;
};

struct PlacementEnded {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementOutcome outcome = PlacementOutcome::kServed;
};

using PlacementMessage = std::variant<PlacementQuestion, PlacementAnswer, PlacementTaken,
                                      PlacementBegun, PlacementEnded>;

std::string encode(const PlacementMessage& message);
/// Empty when the bytes are none of these messages.
std::optional<PlacementMessage> decodePlacementMessage(std::string_view bytes);

}  // namespace covewing::routing
