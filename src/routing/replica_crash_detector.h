/// \file
/// Tells whether runs broke off because their replica ended or because only their connections did:
/// both look the same to the requests.
///
/// States of a replica under which runs broke off: asking (a connection is tried, a few times) ->
/// outlived (it accepts one) or ended (it refuses two in a row while none of this node's requests
/// is under way there any more), or undecided (no answer) -> ended when its entry goes. A replica
/// that starts again at once accepts connections as well: outlived -> ended when its entry shows
/// the restart soon after.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/reachability_client.h"
#include "routing/replica_directory.h"

namespace covewing::routing {

struct ReplicaCrashDetectorOptions {
  /// From the first broken run to the first connection: the runs of one crash break off within a
  /// few milliseconds.
  base::Duration firstProbe = std::chrono::milliseconds(30);
  base::Duration probeInterval = std::chrono::milliseconds(120);
  base::Duration connectTimeout = std::chrono::milliseconds(300);
  /// A replica that has too many connections may refuse one.
  std::uint32_t refusals = 2;
  std::uint32_t maximumProbes = 6;
  /// Longest wait for the entry of a silent replica to go.
  base::Duration maximumUndecidedTime = std::chrono::seconds(15);
  /// Longest time from the connection that a restarted replica accepted until its entry shows the
  /// restart: entries are written about once a second.
  base::Duration restartShownWithin = std::chrono::seconds(3);
  /// Runs that break off later are reported at once for so long after the end.
  base::Duration endRetention = std::chrono::seconds(30);
};

/// Runs that ended because their replica did.
struct LostRequests {
  std::string instance;
  std::vector<base::RequestFingerprint> requests;
};

/// All must outlive the check and share its thread.
struct ReplicaCrashDetectorEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  clients::ReachabilityClient& reachability;
};

class ReplicaCrashDetector {
 public:
  using Listener = std::function<void(const LostRequests&)>;

  ReplicaCrashDetector(ReplicaCrashDetectorOptions options,
                       ReplicaCrashDetectorEnvironment environment)
      : options_(options), environment_(environment) {}
  ~ReplicaCrashDetector();
  ReplicaCrashDetector(const ReplicaCrashDetector&) = delete;
  ReplicaCrashDetector& operator=(const ReplicaCrashDetector&) = delete;

  void setListener(Listener listener) { listener_ = std::move(listener); }
  /// A run that may have begun broke off at the replica.
  void onRequestInterrupted(const ReplicaRecordPtr& replica, base::RequestFingerprint request);
  /// The run is listed: it lives, whatever was taken for its end.
  void onListed(const std::string& instance) { endedAt_.erase(instance); }
  /// The replica's entry is gone.
  void onRemoved(const std::string& instance);
  /// The replica's entry names another run of it: this one has ended, and not as planned.
  void onRestarted(const std::string& instance);

 private:
  struct Suspicion {
    ReplicaRecordPtr replica;
    std::vector<base::RequestFingerprint> requests;
    base::TimePoint since{};
    std::uint32_t probes = 0;
    std::uint32_t refusals = 0;
    base::TimerId timer = 0;
    /// When the address accepted a connection.
    std::optional<base::TimePoint> outlivedAt{};
  };

  /// Drops the doubt of a replica that had said that it would leave, which ends as planned; false
  /// where there is none.
  bool dropPlannedEnd(const std::string& instance);
  void scheduleProbe(const std::string& instance, base::Duration delay);
  void probe(const std::string& instance);
  void onProbed(const std::string& instance, clients::Reachability reachability);
  void conclude(const std::string& instance, std::string_view why);
  void report(const LostRequests& ended, std::string_view why);
  void dropExpired();

  ReplicaCrashDetectorOptions options_;
  ReplicaCrashDetectorEnvironment environment_;
  Listener listener_;
  /// By instance.
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, base::TimePoint> endedAt_;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
