/// \file
/// How fast a replica steps and reads, how much that varies, and what one request more does to the
/// pauses of the streams there.
///
/// Load that it answers: replicas differ in speed by a factor of two to three, slow down for
/// moments, and read long prompts between the pieces of running streams. A stream whose first piece
/// is in time is late all the same when a pause between two pieces is longer than its route allows.
///
/// Written by nodes, which time the pieces of each stream and report them to the replica's home
/// when the stream ends or has been slow (routing/placement_messages.h); kept at the home, one for
/// each run of a replica. No network, no clock of its own.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

/// What one node saw of one stream.
struct StreamObservation {
  /// Pauses between two pieces that were seen.
  std::uint32_t pauses = 0;
  /// Time from the first piece to the last.
  base::Duration streamed{};
  base::Duration longestPause{};
  /// How late this node's own timers were at the most meanwhile: a slow node sees slow replicas.
  base::Duration nodeLateness{};

  bool operator==(const StreamObservation&) const = default;
};

/// Work at the replica that a pace is asked for.
struct PaceLoad {
  std::uint32_t running = 0;
  /// Tokens of prompts to be read.
  std::uint64_t unread = 0;
};

class ReplicaPace {
 public:
  /// Absurd observations (negative, beyond any caller's patience) are passed over.
  void learn(const StreamObservation& observation, const PaceLoad& load, base::NodeId node,
             base::TimePoint now);
  /// The pause that all but a few streams stay under with this load; empty while unknown.
  std::optional<base::Duration> expectedLongestPause(const PaceLoad& load,
                                                     base::TimePoint now) const;
  /// Speed relative to the service's others: 1 is usual, 2 twice as fast. In steps, with
  /// hysteresis; 1 while unknown.
  double speed() const;
};

}  // namespace covewing::routing
