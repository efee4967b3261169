/// \file
/// How fast a replica steps and reads, how much that varies, and what one request more does to the
/// pauses of the streams there.
///
/// Load that it answers: replicas differ in speed by a factor of two to three, slow down for
/// moments, and read long prompts between the pieces of running streams. A stream whose first piece
/// is in time is late all the same when a pause between two pieces is longer than its route allows.
///
/// Written by nodes, which time the pieces of each stream and report them to the replica's home
/// when the stream ends (routing/placement_messages.h); kept at the home, one for each run of a
/// replica. No network, no clock of its own.
///
/// The mean pause is a straight line over the tokens read beside a stream: time for the steps of a
/// piece, and time for reading. The longest pause of a stream is a running quantile of the factor
/// by which it exceeds that line, by how much waited to be read: replicas read a bounded part of it
/// between two pieces, so the factor falls as more waits, and moments of slowness raise it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

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

/// Work at the replica that a pace is asked for, or that was there beside a stream.
struct StreamLoad {
  std::uint32_t running = 0;
  /// Tokens of prompts to be read; beside a stream: the most that waited at once.
  std::uint64_t prefillBacklog = 0;
  /// Tokens of prompts that were read beside a stream in all.
  std::uint64_t prefilledTokens = 0;
};

class ReplicaSpeedModel {
 public:
  /// Absurd observations (negative, beyond any caller's patience), streams of too few pieces and
  /// what a node saw that was slow itself are passed over.
  void addObservation(const StreamObservation& observation, const StreamLoad& load,
                      base::NodeId node, base::TimePoint now);
  /// The pause that all but a few streams stay under with this load; empty while unknown.
  std::optional<base::Duration> expectedLongestPause(const StreamLoad& load,
                                                     base::TimePoint now) const;
  /// Speed relative to a replica that makes a piece in kReferencePause while it reads nothing. In
  /// steps, with hysteresis; empty while unknown.
  std::optional<double> speed() const { return speed_; }
  /// Streams more than twice as slow as usual were seen by two nodes of late; a stream now and then
  /// finds the replica well again.
  bool slow(base::TimePoint now) const;

  static constexpr base::Duration kReferencePause = std::chrono::milliseconds(30);

 private:
  /// Sums of a regression of the mean pause (us) over thousands of tokens read for each pause.
  struct Sums {
    double weight = 0;
    double prefilled = 0;
    double prefilledSquared = 0;
    double pause = 0;
    double pausePrefilled = 0;
  };
  /// Classes of how much waits to be read; the upper bounds are in replica_speed_model.cc.
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
  /// Microseconds of a pause while so many thousand tokens are read.
  double expectedPause(double thousands) const;
  double slowdown(base::TimePoint now) const;

  Sums sums_;
  std::uint32_t streamsSeen_ = 0;
  /// Of the line, in us and us for a thousand tokens.
  double stepTime_ = 0;
  double prefillTime_ = 0;
  std::array<Excess, kClasses> excess_;
  std::optional<double> speed_;
  /// How many times slower than usual the latest streams were, when, and who saw it.
  bool slow_ = false;
  double slowness_ = 1;
  base::TimePoint slowAt_{};
  std::optional<base::NodeId> slowSeenBy_;
};

/// The share of long prompts that a replica gets, relative to one of the usual speed. 1 near the
/// usual speed, so that measurements that scatter move no part from its home, and where one of both
/// is not known (0 or less).
double shareOfLongPrompts(double speed, double usualSpeed);

}  // namespace covewing::routing
