/// \file
/// Finds the request that makes replicas crash among all that ran beside it.
///
/// A crash tells little: every request that ran at the replica is suspected alike. What crashes
/// each replica that begins it was at all of its crashes and has never been served; what ran beside
/// it was at one, seldom at two. So a request is a culprit when three crashes have no other
/// explanation, unless it has been served, and unless another suspect was at the same ones: then
/// the next crash tells them apart. The crashes of a culprit count against nobody else.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::quarantine {

using Fingerprints = std::vector<base::RequestFingerprint>;

struct CrashEvidenceOptions {
  /// Runs that broke off by chance at the same replicas make two crashes in common likely in a wave
  /// of them, and three hardly (129 runs at eleven crashed replicas: eight requests twice, none
  /// of the innocent ones three times).
  std::size_t culpritCrashThreshold = 3;
  /// Suspects that were at the same crashes are held for culprits together from this number on.
  std::size_t inseparableCrashThreshold = 5;
  /// Crashes longer ago count no more.
  base::Duration retention = std::chrono::minutes(10);
  /// Crashes that are remembered; the oldest give way.
  std::size_t maximumCrashes = 256;
  /// Runs that are remembered of one crash: more than replicas run at once.
  std::size_t maximumRunsPerCrash = 1024;
};

struct Culprit {
  base::RequestFingerprint request;
  /// Replicas that ended under it.
  std::size_t crashes = 0;
};

class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options = {}) : options_(options) {}

  /// Takes runs that ended with a replica. Each node reports its own, and may repeat them.
  void onReplicaCrash(base::EngineId replica, const Fingerprints& runs, base::TimePoint now);
  /// A run of the request came to its end: earlier crashes count no more against it.
  void onServed(base::RequestFingerprint request, base::TimePoint now);
  /// The request is known as a culprit: its crashes, past ones and those before `until`, are
  /// explained.
  void onQuarantined(base::RequestFingerprint request, base::TimePoint until);

  /// The replicas whose crashes count against the request.
  std::vector<base::EngineId> crashesAgainst(base::RequestFingerprint request) const;
  /// The request that explains the most crashes without explanation; empty when none is proved.
  std::optional<Culprit> findCulprit(base::TimePoint now);

 private:
  struct Crash {
    base::EngineId replica;
    /// When it was first reported.
    base::TimePoint at{};
    Fingerprints runs;
    bool explained = false;
  };
  /// Crashes that count against each suspect, as places in `crashes_`, ascending.
  using CrashesBySuspect = std::unordered_map<base::RequestFingerprint, std::vector<std::size_t>>;

  Crash& crashOf(base::EngineId replica, base::TimePoint now);
  bool countsAgainst(const Crash& crash, base::RequestFingerprint request) const;
  void dropExpired(base::TimePoint now);
  CrashesBySuspect crashesBySuspect() const;
  bool separable(const CrashesBySuspect& all, base::RequestFingerprint request) const;

  CrashEvidenceOptions options_;
  std::deque<Crash> crashes_;
  std::unordered_map<base::RequestFingerprint, base::TimePoint> servedAt_;
  /// Until when each known culprit explains crashes.
  std::unordered_map<base::RequestFingerprint, base::TimePoint> culprits_;
};

}  // namespace covewing::quarantine
