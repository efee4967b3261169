/// \file
/// Models how fast a replica generates and prefills, how much that varies, and how an additional
/// request affects the pauses of the streams there. A pause is the time between two consecutive
/// chunks of a streamed response.
///
/// The model covers the following load: replicas differ in speed by a factor of two to three, slow
/// down for moments, and prefill long prompts between the chunks of running streams. A stream whose
/// first chunk is in time is late all the same if a pause between two chunks is longer than its
/// route allows.
///
/// The data comes from nodes, which time the chunks of each stream and report them to the replica's
/// home when the stream ends (routing/placement_messages.h). The model is kept at the home, one for
/// each instance of a replica. It uses no network and has no clock of its own.
///
/// The mean pause is modelled as a straight line over the tokens prefilled during a stream: time
/// for the decoding steps of a chunk, plus time for prefill. The longest pause of a stream is
/// modelled by a running quantile of the factor by which it exceeds that line, kept per class of
/// the prefill backlog. Replicas prefill a bounded part of the backlog between two chunks, so the
/// factor falls as the backlog grows; moments of slowness raise it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

/// What one node observed of one stream.
struct StreamObservation {
  /// Number of pauses between two chunks that were observed.
  std::uint32_t pauses = 0;
  /// Time from the first chunk to the last.
  base::Duration streamed{};
  base::Duration longestPause{};
  /// Maximum lateness of this node's own timers in the meantime: to a slow node, replicas appear
  /// slow.
  base::Duration nodeLateness{};

  bool operator==(const StreamObservation&) const = default;
};

/// Load of the replica for which a pause is to be estimated, or which ran concurrently with a
/// stream.
struct StreamLoad {
  std::uint32_t running = 0;
  /// Prompt tokens to be prefilled; for a stream: the maximum backlog at any time.
  std::uint64_t prefillBacklog = 0;
  /// Total number of prompt tokens that were prefilled during a stream.
  std::uint64_t prefilledTokens = 0;
};

class ReplicaSpeedModel {
 public:
  /// Ignores implausible observations (negative, or longer than any caller would wait), streams of
  /// too few chunks, and observations of nodes that were slow themselves.
  void addObservation(const StreamObservation& observation, const StreamLoad& load,
                      base::NodeId node, base::TimePoint now);
  /// The pause that all but a few streams do not exceed under this load; empty while unknown.
  std::optional<base::Duration> expectedLongestPause(const StreamLoad& load,
                                                     base::TimePoint now) const;
  /// Speed relative to a replica that produces a chunk in kReferencePause while it prefills
  /// nothing. Changes in steps, with hysteresis; empty while unknown.
  std::optional<double> speed() const { return speed_; }
  /// Whether two nodes recently observed streams more than twice as slow as usual. The state
  /// decays, so that an occasional stream finds out whether the replica has recovered.
  bool slow(base::TimePoint now) const;

  static constexpr base::Duration kReferencePause = std::chrono::milliseconds(30);

 private:
  /// Sums for a linear regression of the mean pause (us) over the thousands of tokens prefilled per
  /// pause.
  struct Sums {
    double weight = 0;
    double prefilled = 0;
    double prefilledSquared = 0;
    double pause = 0;
    double pausePrefilled = 0;
  };
  /// Number of classes of the prefill backlog; their upper bounds are in replica_speed_model.cc.
  static constexpr std::size_t kClasses = 6;
  struct Excess {
    /// Logarithm of the factor between the longest pause and the mean one.
    double logarithm = 0.4;
    std::uint32_t count = 0;
  };

  bool isPlausible(const StreamObservation& observation) const;
  void updateMean(double pause, double prefilled, double weight);
  void updateExcess(const StreamObservation& observation, const StreamLoad& load);
  void updateSlowness(double ratio, base::NodeId node, base::TimePoint now);
  void updateSpeed();
  /// Pause in microseconds while this many thousand tokens are prefilled.
  double expectedPause(double thousands) const;
  double slowdown(base::TimePoint now) const;

  Sums sums_;
  std::uint32_t streamsSeen_ = 0;
  /// Parameters of the line, in us and in us per thousand tokens.
  double stepTime_ = 0;
  double prefillTime_ = 0;
  std::array<Excess, kClasses> excess_;
  std::optional<double> speed_;
  /// Factor by which the latest streams were slower than usual, when that was observed, and by
  /// which node.
  bool slow_ = false;
  double slowness_ = 1;
  base::TimePoint slowAt_{};
  std::optional<base::NodeId> slowSeenBy_;
};

/// Share of long prompts that a replica receives relative to one of the usual speed. It is 1 near
/// the usual speed, so that scattered measurements do not move parts away from their home replica,
/// and 1 if either speed is unknown (0 or less).
double shareOfLongPrompts(double speed, double usualSpeed);

}  // namespace covewing::routing
