/// \file
/// Keeps requests that crash the replicas that run them away from further replicas.
///
/// A caller sends such a request again as a new one, to any node, so no node can judge by what it
/// saw itself. Each request has two homes among the nodes. They are told of its runs that ended
/// with a replica (ReplicaCrashDetector), and tell all nodes where more than one crash counts
/// against it. So every home judges by the same evidence (CrashEvidence), of which there is little:
/// most requests were at one crash. A node at which a suspect came to its end objects; without an
/// objection the homes quarantine the culprit, and every node refuses it before it is sent.
///
/// Messages may be lost and go a few times. Suspects and decisions spread as gossip records
/// besides, which repair what a node that was cut off or has just started has missed; both are kept
/// in the table service for a restart of all nodes. A decision is lifted when a run of the
/// request comes to its end after all, and lapses.
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
#include "base/time.h"
#include "clients/table_client.h"
#include "membership/member_directory.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/quarantine_rows.h"
#include "quarantine/served_requests.h"

namespace covewing::quarantine {

struct RequestQuarantineOptions {
  CrashEvidenceOptions evidence;
  /// From the proof against a request to its quarantine; others object within a round trip.
  base::Duration objectionPeriod = std::chrono::milliseconds(300);
  /// How long a quarantined request is refused. New weights or software may run it, and a wrong
  /// verdict must not last; three crashes an hour are borne.
  base::Duration lifetime = std::chrono::hours(1);
  /// Messages are sent again after each of these.
  base::Duration firstResendDelay = std::chrono::milliseconds(150);
  base::Duration secondResendDelay = std::chrono::milliseconds(600);
  /// How often it is looked whether homes have changed, while there is evidence of this node's own.
  base::Duration homeCheckPeriod = std::chrono::seconds(1);
  /// Own reports that are kept for homes to come; the oldest give way.
  std::size_t maximumReports = 256;
  /// A suspect at more crashes than these is not announced again: the homes know enough.
  std::size_t maximumAnnouncedCrashes = 8;
  /// Between a home's comparisons with the table service, while anything is quarantined.
  base::Duration comparisonPeriod = std::chrono::seconds(30);
  /// Suspects of which this node keeps a row; beyond that none is added.
  std::size_t maximumSuspectRows = 256;
  /// Requests in quarantine; beyond that none is added.
  std::size_t maximumQuarantined = 1024;
};

/// All must outlive the quarantine and share its thread.
struct RequestQuarantineEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
  clients::TableClient& table;
  /// The table service's clock as this node knows it; empty before the first answer.
  std::function<std::optional<base::Duration>()> serviceClock;
};

/// Why and for how long a request is refused.
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

  /// Learns the verdicts of others.
  void start();
  /// Empty when the request may be sent.
  std::optional<QuarantineStatus> find(base::RequestFingerprint request) const;
  /// Runs of this node ended with a replica.
  void onReplicaCrash(base::EngineId replica, const Fingerprints& runs);
  /// A run of this node came to its end.
  void onServed(base::RequestFingerprint request);
  /// Requests that are refused now.
  std::size_t size() const;
  /// The table service came back from a copy: as a home, writes again what its rows may lack.
  void onStoreReturned();

  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  struct Verdict {
    QuarantineEntry entry;
    /// When it lapses, by this node's clock.
    base::TimePoint until{};
  };

  /// Runs of this node that ended with a replica.
  struct SentReport {
    CrashReport report;
    base::TimePoint at{};
  };

  /// Sends each home those of the runs that are its own.
  void sendReport(const CrashReport& report);
  /// Reports to the homes again when members came or went: a home that died took what it knew with
  /// it, and without its evidence a culprit would need three more crashes.
  void resendToNewHomes();
  void scheduleHomeCheck();
  /// As a home: runs of any node ended with a replica.
  void handle(const CrashReport& report);
  void handle(const RequestSuspected& suspected);
  void handle(const RequestServed& served);
  /// Counts the crashes against the request, unless the suspicion is old.
  void addSuspicion(const RequestSuspected& suspected);
  /// Tells all which crashes count against the request.
  void announce(base::RequestFingerprint request);
  RequestSuspected currentSuspicion(base::RequestFingerprint request) const;
  void publish(const RequestSuspected& suspected);
  void onRecord(const membership::GossipRecord& record);
  void object(base::RequestFingerprint request);
  /// Decides after the time for objections.
  void scheduleVerdict();
  void decide();
  void quarantine(const Culprit& culprit);
  void lift(base::RequestFingerprint request);
  /// Takes an entry from wherever; false when a later one is known.
  bool apply(const QuarantineEntry& entry, std::string_view source);
  /// Tells all nodes, and gossip.
  void broadcast(const QuarantineEntry& entry);
  void publish(const QuarantineEntry& entry);
  void scheduleComparison();
  void compareWithRows();
  void mergeRows(const StoredEvidence& stored);
  /// As the home that keeps the rows of a suspect: writes what counts against it now.
  void storeSuspect(base::RequestFingerprint request);
  /// Takes the row of a suspect for this node's to remove once it is as old as evidence gets.
  void scheduleRowRemoval(base::RequestFingerprint request, base::Duration age);
  /// Nothing counts against the request any more.
  void removeSuspect(base::RequestFingerprint request);
  /// The verdict on the request says all that its row as a suspect did.
  void removeQuarantinedSuspect(base::RequestFingerprint request);

  /// The two nodes that judge a request, as this node sees the members; one where it is alone.
  std::vector<base::Endpoint> homesOf(base::RequestFingerprint request) const;
  bool isHomeOf(base::RequestFingerprint request) const;
  /// Of the two homes, the one that writes rows of a suspect.
  bool writesRowsOf(base::RequestFingerprint request) const;
  void sendToHomes(base::RequestFingerprint request, const std::string& payload);
  /// To another node, or as if from another one to this node.
  void send(const base::Endpoint& destination, const std::string& payload);
  /// To all other nodes.
  void sendToAll(const std::string& payload);
  /// Runs now and after each pause.
  void sendRepeatedly(const std::function<void()>& send);
  /// Time since a moment by the table service's clock; zero where that clock is not known.
  base::Duration ageOf(base::Duration moment) const;

  RequestQuarantineOptions options_;
  RequestQuarantineEnvironment environment_;
  CrashEvidence evidence_;
  ServedRequests served_;
  QuarantineRows rows_;
  std::unordered_map<base::RequestFingerprint, Verdict> verdicts_;
  /// Until when the rows of suspects count that this node keeps.
  std::unordered_map<base::RequestFingerprint, base::TimePoint> suspectRows_;
  std::deque<SentReport> reports_;
  /// The members that the reports were sent to.
  std::uint64_t reportedMembersVersion_ = 0;
  base::TimerId verdictTimer_ = 0;
  base::TimerId homeCheckTimer_ = 0;
  base::TimerId comparisonTimer_ = 0;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::quarantine
