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
#include "routing/instance_rate_limit.h"
#include "routing/prefix_holders.h"
#include "routing/replica_speed_model.h"

namespace covewing::routing {

/// What a request takes of a replica, and what the replica has in all.
struct PlacementDemand {
  /// Tokens of memory for the prompt and the longest answer.
  std::uint32_t tokens = 0;
  /// Tokens of the prompt that the replica must read, as far as the sender knows.
  std::uint32_t prefillTokens = 0;
  /// Requests that the replica runs at once; 0: not known.
  std::uint32_t slots = 0;
  /// Tokens of memory that requests may fill; 0: not known or without meaning.
  std::uint32_t memory = 0;

  bool operator==(const PlacementDemand&) const = default;
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

/// How a request stands among others that wait for the same room. Times are spans from the moment
/// at which the message is sent: nodes have no common clock.
struct PlacementTerms {
  /// The home may queue the request where it cannot grant it; else it only grants or declines.
  bool mayQueue = false;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0: none.
  std::uint64_t tenant = 0;
  /// Since the request reached the system.
  base::Duration age{};
  /// The answer is in time if the request begins within this.
  base::Duration softStartWithin{};
  /// Beginning later than this is of no use to the caller.
  base::Duration hardStartWithin{};
  /// Longest pause between the pieces of the answer that keeps it in time; zero: none stated.
  base::Duration longestPause{};
  /// Tokens that the answer is expected to have.
  std::uint32_t outputTokens = 0;

  bool operator==(const PlacementTerms&) const = default;
};

struct PlacementQuery {
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
  PlacementDemand work;
  /// The request is granted where the expected wait is at most this.
  base::Duration acceptableWait{};
  PlacementTerms terms;
  /// Where it may queue, it does only if the expected wait is at most this: another home told more.
  base::Duration maximumQueueWait = base::Duration::max();
  /// What the asker knows of the replica's rate limit.
  KnownRateLimit rateLimit{};
};

/// What a home says to a request, at once or later while the request is queued there.
enum class PlacementVerdict : std::uint8_t {
  /// It may be sent now.
  kGranted = 1,
  /// Not now; another home may be asked.
  kDeclined = 2,
  /// It waits in the home's queue. Another answer follows before `within` is over: a grant, a
  /// refusal, or this again. Without one the home or the message is lost.
  kQueued = 3,
  /// It cannot be served in the time that it has; nor is it worth asking others while `queued` is
  /// not zero there.
  kRefused = 4,
};

struct PlacementReply {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementVerdict verdict = PlacementVerdict::kDeclined;
  /// False where the replica should not get the request: it fails, leaves, changes its weights, or
  /// has no room.
  bool usable = true;
  base::Duration wait{};
  /// Version of the model's weights at the replica, as far as the home knows; 0: not known.
  base::WeightsVersion version = 0;
  /// Leading shared tokens that the home believes cached at the replica.
  std::uint32_t matchedTokens = 0;
  /// Requests that wait in the home's queue for this replica, those ahead of this one where it
  /// waits too.
  std::uint32_t queued = 0;
  /// Of a queued request: another answer follows within this.
  base::Duration nextUpdateWithin{};
  /// Of a refused request: when one like it would be served.
  base::Duration retryAfter{};
  /// False where the stream, or one that runs there, would pause for longer than its route allows.
  bool meetsPauseBounds = true;
  /// By how much these streams' longest pauses are expected to exceed what is allowed, summed.
  base::Duration pauseExcess{};
  /// Speed of the replica (ReplicaSpeedModel::speed) in hundredths; 0: not known.
  std::uint32_t speedPercent = 0;
  /// The replica has said that it leaves.
  bool leaving = false;
  /// What the home knows of the replica's rate limit.
  KnownRateLimit rateLimit{};
  /// Of a granted request: it is counted within that limit.
  bool paced = false;

  bool granted() const { return verdict == PlacementVerdict::kGranted; }
};

/// A request, or another call, is sent to the replica though its home did not grant it.
struct UngrantedDispatch {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementDemand work;
  /// As in its terms.
  base::Duration longestPause{};
  /// It is no request: it counts within the replica's rate limit, and takes no room.
  bool controlCall = false;
};

struct PlacementStarted {
  std::uint64_t id = 0;
  base::EngineId replica;
  /// The replica has said that it leaves.
  bool leaving = false;
  /// What the head of this answer said.
  clients::RateLimitNotice rateLimit{};
};

struct PlacementEnded {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementOutcome outcome = PlacementOutcome::kServed;
  /// What the node saw of the stream; nothing for answers without pieces.
  StreamObservation observed;
  /// The replica has said that it leaves.
  bool leaving = false;
  /// What the head of the answer said; nothing where none came.
  clients::RateLimitNotice rateLimit{};
  /// The request never went to the replica.
  bool notSent = false;
};

using PlacementMessage = std::variant<PlacementQuery, PlacementReply, UngrantedDispatch,
                                      PlacementStarted, PlacementEnded>;

std::string encode(const PlacementMessage& message);
/// Empty when the bytes are none of these messages.
std::optional<PlacementMessage> decodePlacementMessage(std::string_view bytes);

}  // namespace covewing::routing
