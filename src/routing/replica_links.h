/// \file
/// Whether this node reaches each replica by connections of its own.
///
/// The link to a replica and the replica itself fail independently: a node that has lost its links
/// must not conclude that the replicas have failed (routing/replica_health.h), and other nodes may
/// still reach them.
///
/// States of a link: working -> (a connection cannot be made, or sent bytes are not acknowledged
/// and a probe fails) failed -> (probes succeed) working. Whenever a link fails, links to a few
/// other replicas are probed, and so on for each of these that fails: a node that has lost all
/// links finds out about all of them within some round trips and probe time-outs, instead of by one
/// request after another. Failed links are probed until they work again, so that no request has to
/// be risked for that.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/reachability_client.h"
#include "routing/replica_directory.h"

namespace covewing::routing {

struct ReplicaLinkOptions {
  /// Maximum time for a probe to connect. Longer than a round trip between zones by far; a lost
  /// packet is sent again after a second, which is too long to wait.
  base::Duration probeTimeout = std::chrono::milliseconds(200);
  /// Number of other links that are probed when one fails.
  std::size_t probedWithEach = 4;
  /// Interval of the probes of a failed link: the first one, doubled up to the maximum.
  base::Duration firstProbeInterval = std::chrono::milliseconds(250);
  base::Duration maximumProbeInterval = std::chrono::seconds(1);
  /// Number of successful probes in a row after which a link that has failed works again, so that
  /// single probes that pass a lossy link do not count.
  std::uint32_t successesToRestore = 2;
  /// If connections to at least this many replicas break within the window, this node's links are
  /// the likely cause.
  std::size_t simultaneousBreaks = 3;
  base::Duration breakWindow = std::chrono::milliseconds(100);
};

/// All must outlive the links and be used on their thread.
struct ReplicaLinkEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::ReachabilityClient& reachability;
  const ReplicaDirectory& replicas;
};

class ReplicaLinks {
 public:
  ReplicaLinks(ReplicaLinkOptions options, ReplicaLinkEnvironment environment)
      : options_(options), environment_(environment) {}
  ~ReplicaLinks();
  ReplicaLinks(const ReplicaLinks&) = delete;
  ReplicaLinks& operator=(const ReplicaLinks&) = delete;

  /// Called with the instance when a link that had failed works again.
  void onRestored(std::function<void(const std::string&)> listener) {
    restored_ = std::move(listener);
  }
  bool working(const ReplicaRecord& replica) const;
  /// Whether the links to more than half of the listed replicas have failed.
  bool mostFailed() const;
  /// Number of failed links.
  std::size_t failed() const;

  /// No connection to the replica could be made.
  void onConnectFailed(const ReplicaRecord& replica);
  /// Probes the link and calls `finished`, later, with whether it works; without a probe if the
  /// link is known to have failed.
  void verify(const ReplicaRecord& replica, std::function<void(bool)> finished);
  /// A connection to the replica broke while a request was in flight. Returns whether connections
  /// to several replicas broke at the same time, so that the replica is not to be blamed.
  bool onConnectionBroken(const ReplicaRecord& replica);

 private:
  struct Link {
    bool failed = false;
    base::TimePoint failedAt{};
    base::Duration probeInterval{};
    std::uint32_t successes = 0;
    bool probing = false;
    base::TimerId timer = 0;
    std::vector<std::function<void(bool)>> waiting;
  };
  struct Break {
    std::string instance;
    base::TimePoint at{};
  };

  void probe(const std::string& instance);
  void onProbed(const std::string& instance, bool accepts);
  void setFailed(const std::string& instance, std::string_view why);
  void probeOthers();
  void scheduleProbe(const std::string& instance, Link& link);

  ReplicaLinkOptions options_;
  ReplicaLinkEnvironment environment_;
  std::function<void(const std::string&)> restored_;
  /// Links that have failed or are being probed, by instance.
  std::map<std::string, Link> links_;
  std::deque<Break> breaks_;
  /// Allows callbacks that run after the destruction of this object to detect it.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
