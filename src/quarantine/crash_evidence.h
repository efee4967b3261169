/// \file
/// Identifies the request, or the part of a prompt, that crashes replicas among everything that was
/// running at the same time.
///
/// A single crash proves little: every request that was running at the replica is equally suspect,
/// and so is each shared part of its prompt. What crashes every replica that starts it was running
/// at all of those crashes and has never been served; what happened to run concurrently with it was
/// present at one of them, rarely at two.
///
/// A request is therefore the culprit if three crashes have no other explanation, unless it has
/// been served, and unless another request was present at the same crashes: the next crash
/// distinguishes those. A part of a prompt runs far more often than one request, and replicas that
/// lose power together prove nothing. Crashes that follow one another closely are a wave, and a
/// part is a culprit if responses under it had just begun in three waves, or at all of six crashes
/// or more in two waves, or if it was present in five waves. The crashes of a culprit count against
/// nothing else.
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
  /// Number of crashes of only two waves at which a part is a culprit, if responses under it had
  /// just begun at all of them. A session with several runs at once may be at five by chance.
  std::size_t burstCrashThreshold = 6;
  /// Crashes closer together than this are one wave, since they may have one cause outside of the
  /// requests.
  base::Duration waveGap = std::chrono::milliseconds(100);
  /// Maximum duration of a wave: culprits that come fast would otherwise make one wave without end.
  base::Duration maximumWave = std::chrono::seconds(1);
  /// Older crashes no longer count.
  base::Duration retention = std::chrono::minutes(10);
  /// Maximum number of crashes kept; the oldest are dropped.
  std::size_t maximumCrashes = 256;
  /// Maximum number of requests kept per crash: more than a replica runs concurrently.
  std::size_t maximumRunsPerCrash = 1024;
  /// Maximum number of parts of prompts kept per crash.
  std::size_t maximumPartsPerCrash = 4096;
};

struct Culprit {
  base::RequestFeature feature;
  /// Number of replicas that crashed while running it.
  std::size_t crashes = 0;
};

/// A crash that counts against a suspect.
struct CountedCrash {
  base::EngineId replica;
  /// Time of the first report.
  base::TimePoint at{};
  /// A response under the suspect had just begun.
  bool begun = false;
};

class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options = {}) : options_(options) {}

  /// Records what was running at a replica when it crashed, and for which of it a response had just
  /// begun. Each node reports its own requests and may repeat the report.
  void onReplicaCrash(base::EngineId replica, const base::RequestFeatures& runs, base::TimePoint at,
                      const base::RequestFeatures& begun = {});
  /// A run with the feature completed: earlier crashes no longer count against it.
  void onServed(base::RequestFeature feature, base::TimePoint now);
  /// The feature is a known culprit: the crashes at which it was present, recorded or to come
  /// before `until`, are explained.
  void onQuarantined(base::RequestFeature feature, base::TimePoint until);
  /// The feature was a culprit and may be sent again: until it is served or the time has come, it
  /// is convicted again at the first crash under a response that had just begun.
  void rememberCulprit(base::RequestFeature feature, base::TimePoint until);
  bool isRememberedCulprit(base::RequestFeature feature) const {
    return formerCulprits_.contains(feature);
  }

  /// The crashes that count against the feature, in the order of their times.
  std::vector<CountedCrash> crashesAgainst(base::RequestFeature feature) const;
  /// The feature that explains the most unexplained crashes; empty if none is proved.
  std::optional<Culprit> findCulprit(base::TimePoint now);
  /// The culprit itself and, if it is a part of a prompt, the other proved parts that were present
  /// at the same crashes.
  std::vector<Culprit> inseparableFrom(const Culprit& culprit) const;

 private:
  struct Crash {
    base::EngineId replica;
    base::TimePoint at{};
    /// What was running, and whether a response under it had just begun.
    std::unordered_map<base::RequestFeature, bool> runs;
    std::size_t parts = 0;
    bool explained = false;
  };
  /// Crashes that count against a suspect, as ascending indices into `crashes_`.
  struct Suspect {
    std::vector<std::size_t> crashes;
    std::vector<std::size_t> begun;
    /// Number of waves among these.
    std::size_t waves = 0;
    std::size_t begunWaves = 0;
  };
  using Suspects = std::unordered_map<base::RequestFeature, Suspect>;

  Crash& crashOf(base::EngineId replica, base::TimePoint at);
  void record(Crash& crash, base::RequestFeature feature, base::TimePoint at);
  bool countsAgainst(const Crash& crash, base::RequestFeature feature) const;
  void dropExpired(base::TimePoint now);
  /// Notes that an entry of one of the maps below lapses at this time.
  void expectExpiry(base::TimePoint at);
  Suspects suspects() const;
  /// The number of its wave for each crash.
  std::vector<std::size_t> waves() const;
  bool isProved(const Suspects& all, base::RequestFeature feature) const;
  bool isRequestProved(const Suspects& all, base::RequestFeature request) const;
  bool isPartProved(const Suspects& all, base::RequestFeature part) const;

  CrashEvidenceOptions options_;
  /// Ascending by time.
  std::deque<Crash> crashes_;
  std::unordered_map<base::RequestFeature, base::TimePoint> servedAt_;
  /// Until when each known culprit explains further crashes.
  std::unordered_map<base::RequestFeature, base::TimePoint> culprits_;
  std::unordered_map<base::RequestFeature, base::TimePoint> formerCulprits_;
  /// No entry of the three maps above lapses before this time: they are not searched for each part
  /// of a report.
  base::TimePoint nextExpiry_ = base::TimePoint::max();
};

}  // namespace covewing::quarantine
