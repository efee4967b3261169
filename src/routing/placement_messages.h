/// \file
/// Messages on the placement channel: a node queries the home of a replica whether to send a
/// request there, the home replies, and nodes report the requests that they sent and their
/// outcomes.
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

/// Resources that a request needs at a replica, and the replica's total capacity.
struct PlacementDemand {
  /// KV-cache memory in tokens for the prompt and the longest possible output.
  std::uint32_t tokens = 0;
  /// Prompt tokens that the replica must prefill, as far as the sender knows.
  std::uint32_t prefillTokens = 0;
  /// Number of requests that the replica runs concurrently; 0 if unknown.
  std::uint32_t slots = 0;
  /// KV-cache memory in tokens that requests may use; 0 if unknown or not applicable.
  std::uint32_t memory = 0;

  bool operator==(const PlacementDemand&) const = default;
};

enum class PlacementOutcome : std::uint8_t {
  kServed = 1,
  /// The replica reported that it did not run the request for lack of capacity.
  kRefused = 2,
  /// The replica failed, broke off the response, or did not respond.
  kFailed = 3,
  /// No connection could be established.
  kUnreachable = 4,
  /// The caller disconnected, or the request ended for a reason unrelated to the replica.
  kWithdrawn = 5,
};

/// Scheduling constraints of a request among those that compete for the same capacity. Times are
/// spans from the moment at which the message is sent, since nodes have no common clock.
struct PlacementTerms {
  /// The home may queue the request if it cannot grant it; otherwise it only grants or declines.
  bool mayQueue = false;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0 if there is no tenant.
  std::uint64_t tenant = 0;
  /// Time since the request reached the system.
  base::Duration age{};
  /// The response is in time if the request starts within this.
  base::Duration softStartWithin{};
  /// A request that starts later than this is of no use to the caller.
  base::Duration hardStartWithin{};
  /// Maximum pause between two chunks of the response for the stream to count as in time; zero if
  /// the route sets none.
  base::Duration maximumPause{};
  /// Expected number of output tokens.
  std::uint32_t outputTokens = 0;

  bool operator==(const PlacementTerms&) const = default;
};

struct PlacementQuery {
  /// Chosen by the sender of the query; also identifies the grant.
  std::uint64_t id = 0;
  base::EngineId replica;
  /// Name of the model; empty for requests without a prompt.
  std::string model;
  CacheScope scope = 0;
  /// Shared parts of the prompt.
  std::vector<prefix::PromptPart> parts;
  /// Tokens of the whole prompt.
  std::uint32_t promptTokens = 0;
  PlacementDemand work;
  /// The request is granted if the expected wait is at most this.
  base::Duration acceptableWait{};
  PlacementTerms terms;
  /// If the request may queue, the home queues it only if the expected wait is at most this; beyond
  /// it, another home that has replied is preferable.
  base::Duration maximumQueueWait = base::Duration::max();
  /// Rate limit of the replica as observed by the sender.
  KnownRateLimit rateLimit{};
};

/// Decision of a home on a request, sent at once, or later while the request is queued there.
enum class PlacementVerdict : std::uint8_t {
  /// The request may be sent now.
  kGranted = 1,
  /// The request may not be sent now; another home may be queried.
  kDeclined = 2,
  /// The request waits in the home's queue. Another reply follows before `nextUpdateWithin` has
  /// passed: a grant, a refusal, or this verdict again. If none arrives, the home or the message
  /// was lost.
  kQueued = 3,
  /// The request cannot be served within its deadlines. If `queued` is not zero, querying other
  /// homes is not worthwhile either.
  kRefused = 4,
};

struct PlacementReply {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementVerdict verdict = PlacementVerdict::kDeclined;
  /// False if the replica must not receive the request: it fails, is leaving, is changing its
  /// weights, or has no capacity.
  bool usable = true;
  base::Duration wait{};
  /// Version of the model's weights at the replica, as far as the home knows; 0 if unknown.
  base::WeightsVersion version = 0;
  /// Number of leading shared tokens that the home considers cached at the replica.
  std::uint32_t matchedTokens = 0;
  /// Length of the home's queue for this replica; if the request is queued itself, the number of
  /// requests ahead of it.
  std::uint32_t queued = 0;
  /// For a queued request: another reply follows within this time.
  base::Duration nextUpdateWithin{};
  /// For a refused request: the time after which an equal request would be served.
  base::Duration retryAfter{};
  /// False if the request's stream, or one that already runs there, would pause for longer than its
  /// route allows.
  bool meetsPauseBounds = true;
  /// Sum over these streams of the time by which their longest pause is expected to exceed the
  /// allowed one.
  base::Duration pauseExcess{};
  /// Speed of the replica (ReplicaSpeedModel::speed) in hundredths; 0 if unknown.
  std::uint32_t speedPercent = 0;
  /// The replica reported that it is leaving.
  bool leaving = false;
  /// Rate limit of the replica as known to the home.
  KnownRateLimit rateLimit{};
  /// For a granted request: it is counted against that limit.
  bool paced = false;

  bool granted() const { return verdict == PlacementVerdict::kGranted; }
};

/// Reports a request, or another call, that is sent to the replica without a grant of its home.
struct UngrantedDispatch {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementDemand work;
  /// Same meaning as in PlacementTerms.
  base::Duration maximumPause{};
  /// The call is not an inference request: it counts against the replica's rate limit but uses no
  /// capacity.
  bool controlCall = false;
};

struct PlacementStarted {
  std::uint64_t id = 0;
  base::EngineId replica;
  /// The replica reported that it is leaving.
  bool leaving = false;
  /// Rate limit reported in the header of the response.
  clients::RateLimitNotice rateLimit{};
  /// Refusals per second that the replica withstands, reported likewise.
  clients::RateLimitNotice refusalLimit{};
};

struct PlacementEnded {
  std::uint64_t id = 0;
  base::EngineId replica;
  PlacementOutcome outcome = PlacementOutcome::kServed;
  /// What the node observed of the stream; default values if the response was not streamed.
  StreamObservation observed;
  /// The replica reported that it is leaving.
  bool leaving = false;
  /// Rate limit reported in the header of the response; nothing if no response arrived.
  clients::RateLimitNotice rateLimit{};
  /// The request was never sent to the replica.
  bool notSent = false;
  /// Refusals per second that the replica withstands, as reported in the header of the response.
  clients::RateLimitNotice refusalLimit{};
};

using PlacementMessage = std::variant<PlacementQuery, PlacementReply, UngrantedDispatch,
                                      PlacementStarted, PlacementEnded>;

std::string encode(const PlacementMessage& message);
/// Returns nothing if the bytes are not a valid message of this channel.
std::optional<PlacementMessage> decodePlacementMessage(std::string_view bytes);

}  // namespace covewing::routing
