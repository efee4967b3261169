/// \file
/// Identifies the request that crashes replicas among all requests that were running at the same
/// time.
///
/// A single crash proves little: every request that was running at the replica is equally suspect.
/// A request that crashes every replica that starts it was running at all of those crashes and has
/// never been served; a request that happened to run concurrently with it was present at one of
/// them, rarely at two. A request is therefore the culprit if three crashes have no other
/// explanation, unless it has been served, and unless another suspect was present at the same
/// crashes: the next crash distinguishes those. The crashes of a culprit count against no other
/// request.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/request_feature.h"
#include "base/time.h"

namespace covewing::quarantine {

struct CrashEvidenceOptions {
  /// In a wave of crashes, it is likely that innocent requests that were interrupted at the same
  /// replicas by chance have two crashes in common, but hardly three. With 129 executions at eleven
  /// crashed replicas, eight innocent requests were present twice, and none three times.
  std::size_t culpritCrashThreshold = 3;
  /// From this number of crashes on, suspects that were present at the same crashes are all treated
  /// as culprits.
  std::size_t inseparableCrashThreshold = 5;
  /// Older crashes no longer count.
  base::Duration retention = std::chrono::minutes(10);
  /// Maximum number of crashes kept; the oldest are dropped.
  std::size_t maximumCrashes = 256;
  /// Maximum number of requests kept per crash: more than a replica runs concurrently.
  std::size_t maximumRunsPerCrash = 1024;
};

struct Culprit {
  base::RequestFeature feature;
  /// Number of replicas that crashed while running it.
  std::size_t crashes = 0;
};

class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options = {}) : options_(options) {}

  /// Records requests that were running at a replica when it crashed. Each node reports its own
  /// requests and may repeat the report.
  void onReplicaCrash(base::EngineId replica, const base::RequestFeatures& runs,
                      base::TimePoint now);
  /// The request completed: earlier crashes no longer count against it.
  void onServed(base::RequestFeature request, base::TimePoint now);
  /// The request is a known culprit: the crashes at which it was present, recorded or to come
  /// before `until`, are explained.
  void onQuarantined(base::RequestFeature request, base::TimePoint until);

  /// The replicas whose crashes count against the request.
  std::vector<base::EngineId> crashesAgainst(base::RequestFeature request) const;
  /// The request that explains the most unexplained crashes; empty if none is proved.
  std::optional<Culprit> findCulprit(base::TimePoint now);

 private:
  struct Crash {
    base::EngineId replica;
    /// Time of the first report.
    base::TimePoint at{};
    base::RequestFeatures runs;
    bool explained = false;
  };
  /// Crashes that count against each suspect, as ascending indices into `crashes_`.
  using CrashesBySuspect = std::unordered_map<base::RequestFeature, std::vector<std::size_t>>;

  Crash& crashOf(base::EngineId replica, base::TimePoint now);
  bool countsAgainst(const Crash& crash, base::RequestFeature request) const;
  void dropExpired(base::TimePoint now);
  CrashesBySuspect crashesBySuspect() const;
  bool separable(const CrashesBySuspect& all, base::RequestFeature request) const;

  CrashEvidenceOptions options_;
  std::deque<Crash> crashes_;
  std::unordered_map<base::RequestFeature, base::TimePoint> servedAt_;
  /// Until when each known culprit explains further crashes.
  std::unordered_map<base::RequestFeature, base::TimePoint> culprits_;
};

}  // namespace covewing::quarantine
