/// \file
/// Prevents requests that crash the replicas running them from being sent to further replicas.
///
/// A caller repeats such a request as a new one, at any node, so no node can judge by its own
/// observations. Each request therefore has two home nodes. All nodes report to them its executions
/// that ended in a replica crash (ReplicaCrashDetector), and the home nodes announce to all nodes
/// when more than one crash counts against it. Every home node thus judges by the same evidence
/// (CrashEvidence). There is little of it, since most requests were present at a single crash. A
/// node at which the suspect completed sends an objection. Without one the home nodes quarantine
/// the culprit, and every node refuses it before it is sent.
///
/// Messages may be lost and are sent several times. In addition, suspects and verdicts spread as
/// gossip records, which inform nodes that were partitioned or have just started; and both are
/// stored in the table service to survive a restart of all nodes. A verdict is lifted if the
/// request completes after all, and it expires.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/request_feature.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "membership/member_directory.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/quarantine_rows.h"
#include "quarantine/served_features.h"

namespace covewing::quarantine {

struct RequestQuarantineOptions {
  CrashEvidenceOptions evidence;
  /// Time from the proof against a request to its quarantine; objections arrive within a round
  /// trip.
  base::Duration objectionPeriod = std::chrono::milliseconds(300);
  /// Minimum interval between searches for a culprit: each takes time in proportion to all that is
  /// suspected, and one crash may bring thousands of messages.
  base::Duration searchInterval = std::chrono::milliseconds(25);
  /// Time for which a quarantined request is refused. New weights or software may be able to run
  /// it, and a wrong verdict must not last; three crashes an hour are acceptable.
  base::Duration lifetime = std::chrono::hours(1);
  /// The same for a part of prompts. A wrong verdict concerns many requests.
  base::Duration partLifetime = std::chrono::minutes(10);
  /// Time after the lapse of a verdict on a part for which it is convicted again at the first crash
  /// of a replica that had just begun a response under it.
  base::Duration relapseTime = std::chrono::hours(24);
  /// Messages are sent again after each of these delays.
  base::Duration firstResendDelay = std::chrono::milliseconds(150);
  base::Duration secondResendDelay = std::chrono::milliseconds(600);
  /// Interval of the check for changed home nodes, while this node has evidence of its own.
  base::Duration homeCheckPeriod = std::chrono::seconds(1);
  /// Maximum number of own reports kept for future home nodes; the oldest are dropped.
  std::size_t maximumReports = 256;
  /// A suspect with more crashes than this is not announced again: the home nodes have enough
  /// evidence.
  std::size_t maximumAnnouncedCrashes = 8;
  /// Interval at which a home node compares its verdicts with the table service, while any request
  /// is quarantined.
  base::Duration comparisonPeriod = std::chrono::seconds(30);
  /// Maximum number of suspects whose rows this node writes; further ones are not stored.
  std::size_t maximumSuspectRows = 256;
  /// Maximum number of quarantined requests; further ones are not added.
  std::size_t maximumQuarantined = 1024;
};

/// All members must outlive the quarantine and share its thread.
struct RequestQuarantineEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
  clients::TableClient& table;
  /// The clock of the table service as known to this node; empty before the first response.
  std::function<std::optional<base::Duration>()> serviceClock;
};

/// Why a request is refused, and for how long.
struct QuarantineStatus {
  std::uint64_t crashes = 0;
  base::Duration remaining{};
};

class RequestQuarantine final : public base::PeerHandler {
 public:
  RequestQuarantine(RequestQuarantineOptions options, RequestQuarantineEnvironment environment);
  ~RequestQuarantine() override;
  RequestQuarantine(const RequestQuarantine&) = delete;
  RequestQuarantine& operator=(const RequestQuarantine&) = delete;

  /// Subscribes to the verdicts of other nodes and loads the stored ones.
  void start();
  /// Empty if the request may be sent.
  std::optional<QuarantineStatus> find(base::RequestFeature feature) const;
  /// A replica crashed while it was running these requests of this node.
  void onReplicaCrash(base::EngineId replica, const std::vector<base::InterruptedRequest>& runs);
  /// A request of this node with these features completed.
  void onServed(const base::RequestFeatures& features);
  /// Number of requests, or of parts of prompts, that are refused now.
  std::size_t size(base::FeatureKind kind) const;
  /// The table service was restored from an older backup: if this node is a home node, it writes
  /// the rows that may be missing again.
  void onStoreReturned();

  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  struct Verdict {
    QuarantineEntry entry;
    /// When it expires, by this node's clock.
    base::TimePoint until{};
  };

  /// A report of this node, kept for future home nodes.
  struct SentReport {
    CrashReport report;
    base::TimePoint at{};
  };

  bool empty() const;
  base::Duration lifetimeOf(base::RequestFeature feature) const;
  /// Records what was running, and whether a response under it had begun; returns whether more
  /// counts against it than before and all nodes should know.
  bool recordCrash(const CrashReport& report, base::RequestFeature feature, bool begun);
  /// Sends each home node the part of the report that concerns its requests.
  void sendReport(const CrashReport& report);
  /// Repeats the reports if the membership changed: the evidence of a home node that died is lost,
  /// and without it a culprit would need three more crashes.
  void resendToNewHomes();
  void scheduleHomeCheck();
  /// As a home node: requests of any node were running at a replica when it crashed.
  void handle(const CrashReport& report);
  void handle(const RequestSuspected& suspected);
  void handle(const RequestServed& served);
  /// Counts the crashes against the request, unless the suspicion is too old.
  void addSuspicion(const RequestSuspected& suspected);
  /// Announces to all nodes which crashes count against these. Parts of prompts with the same
  /// crashes share messages.
  void announce(const base::RequestFeatures& features);
  /// Publishes which crashes count against these as gossip records.
  void publishSuspicions(const base::RequestFeatures& features);
  RequestSuspected currentSuspicion(base::RequestFeature feature) const;
  void publish(const RequestSuspected& suspected);
  void onRecord(const membership::GossipRecord& record);
  /// Objects to the suspicion of those that this node has served.
  void object(const base::RequestFeatures& features);
  /// Tells the home nodes that these were served, now and again.
  void sendServedToHomes(const base::RequestFeatures& features);
  /// Searches for a culprit, now or once the interval since the last search has passed.
  void scheduleSearch();
  /// Schedules the decision at the end of the objection period if there is a culprit.
  void search();
  void decide();
  void quarantine(const Culprit& culprit);
  void lift(base::RequestFeature feature);
  /// Lets the evidence remember a culprit whose verdict of this age lapses or has lapsed.
  void remember(base::RequestFeature feature, base::Duration age);
  /// Applies an entry from any source; false if a later one is known.
  bool apply(const QuarantineEntry& entry, std::string_view source);
  /// Sends the entry to all nodes and publishes it through gossip.
  void broadcast(const QuarantineEntry& entry);
  void publish(const QuarantineEntry& entry);
  void scheduleComparison();
  void compareWithRows();
  void mergeRows(const StoredEvidence& stored);
  /// If this node writes the rows of the suspect: stores what counts against it now.
  void storeSuspect(base::RequestFeature feature);
  /// Makes this node remove the suspect's row once it is older than the retention of evidence.
  void scheduleRowRemoval(base::RequestFeature feature, base::Duration age);
  /// Nothing counts against the request any more.
  void removeSuspect(base::RequestFeature feature);
  /// The verdict on the request supersedes its row as a suspect.
  void removeQuarantinedSuspect(base::RequestFeature feature);

  /// The two home nodes of a request, as this node sees the members; one if the node is alone.
  std::vector<base::Endpoint> homesOf(base::RequestFeature feature) const;
  bool isHomeOf(base::RequestFeature feature) const;
  /// Whether this node is the one of the two home nodes that writes the suspect's row.
  bool writesRowsOf(base::RequestFeature feature) const;
  void sendToHomes(base::RequestFeature feature, const std::string& payload);
  /// Sends to another node, or delivers to this node as if the message came from another one.
  void send(const base::Endpoint& destination, const std::string& payload);
  /// Sends to all other nodes.
  void sendToAll(const std::string& payload);
  /// Calls `send` now and after each resend delay.
  void sendRepeatedly(const std::function<void()>& send);
  /// Time elapsed since `moment` by the clock of the table service; zero if that clock is unknown.
  base::Duration ageOf(base::Duration moment) const;

  RequestQuarantineOptions options_;
  RequestQuarantineEnvironment environment_;
  CrashEvidence evidence_;
  ServedFeatures served_;
  QuarantineRows rows_;
  std::unordered_map<base::RequestFeature, Verdict> verdicts_;
  /// Expiry times of the suspects whose rows this node writes.
  std::unordered_map<base::RequestFeature, base::TimePoint> suspectRows_;
  std::deque<SentReport> reports_;
  /// Membership version at which the reports were last sent.
  std::uint64_t reportedMembersVersion_ = 0;
  base::TimerId verdictTimer_ = 0;
  base::TimerId searchTimer_ = 0;
  /// When a culprit was last searched for.
  std::optional<base::TimePoint> searchedAt_;
  /// When this node last heard anything that a search has to consider.
  base::TimePoint evidenceAt_{};
  base::TimerId homeCheckTimer_ = 0;
  base::TimerId comparisonTimer_ = 0;
  /// Lets callbacks detect that this object was destroyed.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::quarantine
