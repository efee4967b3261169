/// \file
/// Detects whether interrupted requests were lost because their replica ended, or whether only
/// their connections failed: the two cases look the same from a single request.
///
/// States of a replica with interrupted requests: probing (a connection is attempted a few times)
/// -> outlived (the replica accepts one) or ended (it refuses two in a row while no request of this
/// node is in flight there any more), or undecided (no response) -> ended when its entry is
/// removed. A replica that restarts at once accepts connections, too: outlived -> ended if its
/// entry shows the restart soon afterwards.
///
/// Calls that are no requests start probes, too, so that the end of a replica is also noticed by
/// nodes that have no requests there.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/request_feature.h"
#include "base/time.h"
#include "clients/reachability_client.h"
#include "routing/replica_directory.h"

namespace covewing::routing {

struct ReplicaCrashDetectorOptions {
  /// Time from the first interrupted request to the first connection attempt: the requests of one
  /// crash are interrupted within a few milliseconds.
  base::Duration firstProbe = std::chrono::milliseconds(30);
  base::Duration probeInterval = std::chrono::milliseconds(120);
  base::Duration connectTimeout = std::chrono::milliseconds(300);
  /// Refused connections in a row after which the replica counts as ended; one may be refused
  /// because the replica has too many connections.
  std::uint32_t refusals = 2;
  std::uint32_t maximumProbes = 6;
  /// Maximum wait for the removal of the entry of an unresponsive replica.
  base::Duration maximumUndecidedTime = std::chrono::seconds(15);
  /// Maximum time from the connection that a restarted replica accepted until its entry shows the
  /// restart: entries are written about once per second.
  base::Duration restartShownWithin = std::chrono::seconds(3);
  /// Requests that are interrupted within this time after the end of their replica are reported at
  /// once.
  base::Duration endRetention = std::chrono::seconds(30);
};

/// Requests that were lost because their replica ended.
struct LostRequests {
  std::string instance;
  std::vector<base::InterruptedRequest> requests;
};

/// All referenced objects must outlive the detector and be used on its thread only.
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
  /// A request that the replica may have started was interrupted.
  void onRequestInterrupted(const ReplicaRecordPtr& replica, base::InterruptedRequest request);
  /// A call that is not a request was interrupted, or the replica could not be reached with it.
  void onCallFailed(const ReplicaRecordPtr& replica);
  /// The instance is listed: it is running, even if it was considered ended.
  void onListed(const std::string& instance) { endedAt_.erase(instance); }
  /// The replica's entry was removed.
  void onRemoved(const std::string& instance);
  /// The replica's entry names another instance: the given one has ended, and not as planned.
  void onRestarted(const std::string& instance);

 private:
  struct Suspicion {
    ReplicaRecordPtr replica;
    std::vector<base::InterruptedRequest> requests;
    base::TimePoint since{};
    std::uint32_t probes = 0;
    std::uint32_t refusals = 0;
    base::TimerId timer = 0;
    /// When the address accepted a connection.
    std::optional<base::TimePoint> outlivedAt{};
  };

  /// Drops the suspicion about a replica that had announced that it was leaving, since its end is
  /// planned; returns false if there is none.
  bool dropPlannedEnd(const std::string& instance);
  /// Begins to probe the replica, whatever is known of the suspicion.
  void begin(Suspicion& suspicion, const ReplicaRecordPtr& replica);
  void scheduleProbe(const std::string& instance, base::Duration delay);
  void probe(const std::string& instance);
  /// `since` tells the suspicion that was probed from a later one about the same instance.
  void onProbed(const std::string& instance, base::TimePoint since,
                clients::Reachability reachability);
  /// The address refuses connections, also to another node.
  void presumeEnded(ReplicaRecord& replica);
  /// Ends the suspicion and reports the lost requests, if there are any.
  void conclude(const std::string& instance, std::string_view why);
  void report(const LostRequests& ended, std::string_view why);
  void dropExpired();

  ReplicaCrashDetectorOptions options_;
  ReplicaCrashDetectorEnvironment environment_;
  Listener listener_;
  /// By instance.
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, base::TimePoint> endedAt_;
  /// Allows callbacks that run after the destruction of this object to detect it.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
