/// \file
/// One node's part in a lease that is stored in the table service.
///
/// Protocol. The row contains the holder's name and a fencing token that increases with each change
/// of holder. Every write is a compare-and-set on the revision last seen and contains a fresh
/// nonce. If the reply to a write is lost, the node first looks for the write's nonce in the row
/// before it tries anything else.
///
/// No clocks are shared. The holder counts `duration` from the moment before it sent the write that
/// acquired or renewed the lease, and stops using the lease `margin` before that time ends. Another
/// candidate takes over only after the row has been unchanged for `duration + margin` by its own
/// clock, counted from the moment at which it first received that revision; its compare-and-set
/// proves that the row did not change until then. Both clocks may run at rates that differ by less
/// than 2 * margin / duration. None of this stops a process that is paused between its check and
/// its use of the lease: that case is covered by the receivers, which check the fencing token.
///
/// The holder announces each write to the other candidates. An announcement may be lost. One that
/// arrives proves that a revision existed, at a moment after it took effect, and so is as good as a
/// read. Announcements save the candidates calls to the table service, and let them count from the
/// latest renewal.
///
/// If the table service is restored from an older backup, the rows and tokens of the last seconds
/// are lost, and the row may name an earlier holder than the last one. So the holder stops at once,
/// as any other node would, and every token contains the store era in which it was issued: tokens
/// of a later era are greater than all earlier ones, and no token is issued twice. The node that
/// held the lease until the restore was its last holder and may acquire it again at once; all
/// others wait as long as for a known holder, counted from when they first saw the row in the new
/// era.
///
/// States: idle (not a candidate) -> watching -> acquiring -> holding -> watching; stopped at the
/// end.
///
/// Cost: a holder makes one call per `renewInterval`; a watching candidate makes none while it
/// receives announcements of the renewals, otherwise one per `duration + margin` (the reply to a
/// failed compare-and-set contains the current row, so it serves as a read too); all other nodes
/// make none.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "coordination/lease_row.h"
#include "membership/member_directory.h"

namespace covewing::coordination {

struct LeaseOptions {
  /// Name of the lease, such as "coordinator/brno-south".
  std::string name;
  /// Only members of this region compete for the lease; if empty, all members do.
  std::string region;
  base::Duration duration = std::chrono::seconds(6);
  base::Duration margin = std::chrono::milliseconds(500);
  base::Duration renewInterval = std::chrono::seconds(2);
  /// Wait after a failed call, with jitter; doubles up to `maximumBackOff`.
  base::Duration firstBackOff = std::chrono::milliseconds(200);
  base::Duration maximumBackOff = std::chrono::seconds(2);
  /// Interval at which a node that is not a candidate checks the membership again.
  base::Duration membershipInterval = std::chrono::seconds(2);
  std::size_t candidates = 3;
  /// Minimum time between the last order of one holder and the first order of the next, for
  /// receivers that do not check fencing tokens; zero if they do.
  base::Duration orderGap{};
  /// A holder sends orders only for this long after it sent the last write that the table service
  /// confirmed; zero: as long as it holds the lease. A shorter window lets the next holder send
  /// orders sooner.
  base::Duration orderWindow{};
  /// Maximum time that an order may be in transit after the holder has checked its lease.
  base::Duration orderTransitTime{};
};

/// All must outlive the manager and share its thread.
struct LeaseEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::TableClient& table;
  const membership::MemberDirectory& members;
  /// Whether this node can do the holder's work. While it cannot, it neither competes for the lease
  /// nor renews it. Empty: always.
  std::function<bool()> able{};
};

/// Proof of holding a lease, for conditions of writes and for orders.
struct LeaseGrant {
  base::FencingToken token = 0;
  /// Revision of the tenure row (lease_row.h).
  base::Revision tenureRevision = 0;
  /// Time from the acquisition of the lease until the first order may be sent.
  base::Duration settleTime{};
};

/// The circumstances in which a node acquired the lease.
enum class Succession : std::uint8_t {
  /// There was no holder before.
  kFirst,
  /// An earlier incarnation of the same node, at the same address, held the lease and had settled.
  /// That process has ended, or this one could not listen at the address; only its last order may
  /// still be in transit.
  kRestartedHolder,
  /// The previous holder may have sent orders just before: it released the lease, runs a build
  /// without `orderWindow`, or wrote a row that cannot be read; or it is an earlier incarnation of
  /// this node that acquired the lease and had not settled yet.
  kRecentlyActive,
  /// The previous holder did not renew the lease in time.
  kExpired,
};

/// The token just below the lowest one that is issued in the era.
base::FencingToken lastTokenBefore(base::StoreEra era);

/// Time that a new holder must wait before it sends orders.
base::Duration settleTime(Succession succession, const LeaseOptions& options);

/// This node's view of the lease, for status output.
struct LeaseStatus {
  bool candidate = false;
  bool held = false;
  /// Holder and token last seen in the row; empty and 0 if this node has not read it.
  std::string holder;
  base::FencingToken token = 0;
  /// Remaining validity by this node's clock, while it holds the lease.
  base::Duration remaining{};
};

/// A write that acquired or renewed the lease, as announced by the holder to the other candidates.
struct LeaseAnnouncement {
  LeaseRow row;
  /// Revisions of the lease row and of the tenure row.
  base::Revision revision = 0;
  base::Revision tenureRevision = 0;
};

class LeaseListener {
 public:
  virtual ~LeaseListener() = default;
  /// The row was written: the write may be announced to the other candidates.
  virtual void onLeaseWritten(const LeaseAnnouncement& announcement) = 0;
  virtual void onLeaseAcquired(const LeaseGrant& grant) = 0;
  /// The lease may no longer be used.
  virtual void onLeaseLost() = 0;
};

class LeaseManager {
 public:
  LeaseManager(LeaseOptions options, LeaseEnvironment environment, LeaseListener& listener);
  ~LeaseManager();
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// Starts competing; call once.
  void start();
  /// The grant, if it is valid at this moment by this node's clock.
  std::optional<LeaseGrant> grant() const;
  /// The grant, if orders may be sent now. Receivers may not check the fencing token, so orders are
  /// limited in time (LeaseOptions::orderWindow).
  std::optional<LeaseGrant> grantForOrders() const;
  LeaseStatus status() const;
  /// The candidates for the lease, according to this node's view of the membership.
  std::vector<membership::Member> candidates() const;
  /// Another node announced what it wrote. Equivalent to reading the row at this moment.
  void onAnnouncement(const LeaseAnnouncement& announcement);
  /// Another node reported that it released the lease: read the row at once instead of waiting.
  void onReleaseHint();
  /// The table service was restored from an older backup: what was read, written and granted in the
  /// earlier era is no longer valid.
  void onStoreReturned();
  /// Stops using the lease and competing for it, releases it in the table, then calls `done` once.
  void release(std::function<void()> done);

 private:
  struct Observation {
    base::Revision revision = 0;
    base::Revision tenureRevision = 0;
    std::optional<LeaseRow> row;
    /// When this node first received this revision.
    base::TimePoint firstSeenAt{};
    /// Store era in which the row was seen.
    base::StoreEra era = 0;
  };
  struct Tenure {
    LeaseGrant grant;
    base::Revision revision = 0;
    base::TimePoint validUntil{};
    base::TimePoint ordersUntil{};
    base::TimePoint settledAt{};
  };
  /// Revisions on which a write is conditional.
  struct Expectation {
    base::Revision revision = 0;
    base::Revision tenureRevision = 0;
  };
  /// A write whose reply is outstanding or was lost.
  struct Attempt {
    LeaseRow row;
    base::TimePoint sentAt{};
    base::Revision tenureRevision = 0;
    /// Time that this node must wait before it sends orders if the write makes it the holder. A
    /// renewal does so when it is recognised in the row after the lease has expired here.
    base::Duration settleTime{};
  };

  /// Performs the next due action; called by the timer and after each reply.
  void step();
  void stepAsCandidate();
  void scheduleStep(base::Duration delay);
  void backOff();
  bool isCandidate() const;
  /// Whether this node can do the holder's work.
  bool isAble() const { return !environment_.able || environment_.able(); }
  bool hasExpired() const;
  bool isOwn(const LeaseRow& row) const;
  /// The row was written by an earlier incarnation of this node.
  bool isEarlierIncarnation(const LeaseRow& row) const;
  /// The lease may have had a later holder than the row shows, of which the service has lost all
  /// record.
  bool holderIsUncertain() const;
  /// According to the observed row, no node can hold the lease now.
  bool isFree() const;
  base::FencingToken nextToken() const;
  /// The circumstances in which this node would acquire the lease now.
  Succession succession() const;

  void read();
  void acquire();
  void renew();
  void writeRelease();
  /// Writes the lease row on condition that both rows still have the revisions in `expected`.
  void commit(LeaseRow row, const Expectation& expected, bool newTenure);
  LeaseRow makeRow(base::FencingToken token, bool released);
  bool settled() const;
  base::Duration settleTimeLeft() const;
  void onReadReply(const clients::TableReply& reply);
  void onCommitReply(const clients::TableReply& reply, const Attempt& attempt, bool newTenure);
  /// Records the rows of a reply, either read or returned with a conflict.
  void observe(const clients::TableReply& reply);
  /// Recognises one of this node's own writes in the row; true if that made this node the holder.
  bool recogniseOwnWrite();
  void becomeHolder(const Attempt& attempt, base::Revision revision);
  void endTenure(std::string_view reason);
  void armExpiry();
  void finishRelease();

  template <class Handler>
  auto guarded(Handler handler);

  LeaseOptions options_;
  LeaseEnvironment environment_;
  LeaseListener& listener_;
  std::optional<Observation> observed_;
  std::optional<Tenure> tenure_;
  std::vector<Attempt> attempts_;
  /// The highest token that was seen in a row or a message.
  base::FencingToken highestToken_ = 0;
  /// Set if this node held the lease when the service was restored from a backup and no other node
  /// was seen to acquire it since. The value is whether this node had settled.
  std::optional<bool> heldAtStoreReturn_;
  /// The service was restored from a backup while this node was running.
  bool storeReturned_ = false;
  bool started_ = false;
  bool callInFlight_ = false;
  bool releasing_ = false;
  bool stopped_ = false;
  std::function<void()> releaseDone_;
  base::Duration backOff_{};
  base::TimerId stepTimer_ = 0;
  base::TimerId expiryTimer_ = 0;
  /// Callbacks that may outlive this object hold a weak reference and do nothing once it has
  /// expired.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
