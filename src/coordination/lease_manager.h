/// \file
/// One node's part in a lease kept in the table service.
///
/// Protocol. The row names the holder and carries a fencing token that grows with each change of
/// holder. Every write is a compare-and-set on the revision last seen and carries a fresh nonce. A
/// write whose answer was lost is looked for by its nonce before anything else is tried.
///
/// No clocks are shared. The holder counts `duration` from the moment before it sent the write that
/// put or renewed it, and stops using the lease `margin` before that ends. Another candidate takes
/// over only when it has known the row unchanged for `duration + margin` on its own clock, counted
/// from the moment it first learned of that revision; its compare-and-set is the proof that the row
/// did not change until then. Both clocks may run at rates that differ by less than
/// 2 * margin / duration. A process that is paused between its check and its use of the lease is
/// not stopped by any of this: there the receivers' check of the fencing token holds.
///
/// The holder tells the other candidates of each write. Such a message may be lost; one that
/// arrives is knowledge of a revision that did exist, at a moment after it came into force, and so
/// as good as a read. It spares them the table calls and lets them count from the last renewal.
///
/// When the service comes back from a copy, rows and tokens of the last seconds are gone, and the
/// row may name whoever held the lease before its last holder. So the holder stops at once, as any
/// other would, and every token carries the era that it was given in: those of a later era are
/// greater than all before, and none is given twice. Whoever held the lease until the return was
/// the last one to do so, and may take it anew at once; all others wait as long as for a holder
/// that they know, from when they first saw the row in the new era.
///
/// States: idle (no candidate) -> watching -> acquiring -> holding -> watching; stopped at the end.
/// Cost: a holder makes one call per `renewInterval`; a watching candidate none while it is told of
/// the renewals, else one per `duration + margin` (a failed compare-and-set answers with the
/// current row, so it reads too); all other nodes none.
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
  /// Only members of this region compete; empty: all do.
  std::string region;
  base::Duration duration = std::chrono::seconds(6);
  base::Duration margin = std::chrono::milliseconds(500);
  base::Duration renewInterval = std::chrono::seconds(2);
  /// Wait after a call that failed, with jitter; doubles up to `maximumBackoff`.
  base::Duration firstBackoff = std::chrono::milliseconds(200);
  base::Duration maximumBackoff = std::chrono::seconds(2);
  /// How often a node that is no candidate looks at the membership again.
  base::Duration membershipInterval = std::chrono::seconds(2);
  std::size_t candidates = 3;
  /// Least time between the last order of one holder and the first of the next, where receivers do
  /// not check fencing tokens; zero where they do.
  base::Duration orderGap{};
  /// A holder orders only so long after it sent the last write that the table service confirmed;
  /// zero: as long as it holds the lease. The shorter, the sooner the next holder may order.
  base::Duration orderWindow{};
  /// How long an order may be under way after the holder's check, at most.
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
};

/// Proof of holding a lease, for conditions and orders.
struct LeaseGrant {
  base::FencingToken token = 0;
  /// Revision of the tenure row (lease_row.h).
  base::Revision tenureRevision = 0;
  /// From the acquisition until the first order.
  base::Duration settleTime{};
};

/// How a lease came to its holder.
enum class Succession : std::uint8_t {
  /// Nobody held it before.
  kFirst,
  /// An earlier run of the same node, at the same address, that had settled: that run has ended,
  /// or this one could not listen there. Only its last order may still be under way.
  kRestartedHolder,
  /// The holder before may have ordered just now: it gave the lease up, it is of a version without
  /// `orderWindow` or wrote what cannot be read, or an earlier run of this node had taken the lease
  /// and was still waiting.
  kRecentlyActive,
  /// The holder before did not renew it in time.
  kExpired,
};

/// The least token of an era is greater by one than this.
base::FencingToken lastTokenBefore(base::StoreEra era);

/// How long a new holder must wait before it orders.
base::Duration settleTime(Succession succession, const LeaseOptions& options);

/// What a node knows of the lease, for people.
struct LeaseStatus {
  bool candidate = false;
  bool held = false;
  /// Holder and token last seen in the row; empty when this node has not read it.
  std::string holder;
  base::FencingToken token = 0;
  /// Time left by this node's clock, while it holds the lease.
  base::Duration remaining{};
};

/// A write that put or renewed the lease, as its holder tells the other candidates.
struct LeaseAnnouncement {
  LeaseRow row;
  /// Revisions of the lease row and of the tenure row.
  base::Revision revision = 0;
  base::Revision tenureRevision = 0;
};

class LeaseListener {
 public:
  virtual ~LeaseListener() = default;
  /// The row was written: the other candidates may be told.
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
  /// The grant, if it may be used at this moment by this node's clock.
  std::optional<LeaseGrant> grant() const;
  /// The same for orders, which receivers may not check (LeaseOptions::orderWindow).
  std::optional<LeaseGrant> grantForOrders() const;
  LeaseStatus status() const;
  /// The nodes that compete for the lease, as this node sees the membership.
  std::vector<membership::Member> candidates() const;
  /// Another node says what it wrote. Counts like a read of the row at this moment.
  void onAnnouncement(const LeaseAnnouncement& announcement);
  /// Another node says that it gave the lease up: look at once instead of waiting.
  void onReleaseHint();
  /// The table service came back from a copy: what was read, written and granted in its former era
  /// counts no more.
  void onStoreReturned();
  /// Stops using the lease and competing for it, gives it up in the table, then calls `done` once.
  void release(std::function<void()> done);

 private:
  struct Observation {
    base::Revision revision = 0;
    base::Revision tenureRevision = 0;
    std::optional<LeaseRow> row;
    /// When this revision was first known here.
    base::TimePoint firstSeenAt{};
    /// Era of the service in which it was seen.
    base::StoreEra era = 0;
  };
  struct Tenure {
    LeaseGrant grant;
    base::Revision revision = 0;
    base::TimePoint validUntil{};
    base::TimePoint ordersUntil{};
    base::TimePoint settledAt{};
  };
  /// Revisions that a write relies on.
  struct Expectation {
    base::Revision revision = 0;
    base::Revision tenureRevision = 0;
  };
  /// A write of which the answer is outstanding or was lost.
  struct Attempt {
    LeaseRow row;
    base::TimePoint sentAt{};
    base::Revision tenureRevision = 0;
    /// How long this node must wait before it orders, once the write made it the holder. A renewal
    /// does so when its answer is found after the lease has lapsed here.
    base::Duration settleTime{};
  };

  /// Does what is next and due; called by the timer and after each answer.
  void step();
  void stepAsCandidate();
  void scheduleStep(base::Duration delay);
  void backOff();
  bool isCandidate() const;
  bool hasExpired() const;
  bool isOwn(const LeaseRow& row) const;
  /// The row was written by an earlier run of this node.
  bool isEarlierIncarnation(const LeaseRow& row) const;
  /// The lease may have had another holder than the row says, of whom the service has lost all.
  bool holderIsUncertain() const;
  /// Nobody can hold the lease now, by what was observed.
  bool isFree() const;
  base::FencingToken nextToken() const;
  /// How the lease would come to this node now.
  Succession succession() const;

  void read();
  void acquire();
  void renew();
  void writeRelease();
  /// Writes the row on condition that both rows still have the revisions in `expected`.
  void commit(LeaseRow row, const Expectation& expected, bool newTenure);
  LeaseRow makeRow(base::FencingToken token, bool released);
  bool settled() const;
  base::Duration settleTimeLeft() const;
  void onReadReply(const clients::TableReply& reply);
  void onCommitReply(const clients::TableReply& reply, const Attempt& attempt, bool newTenure);
  /// Takes in the rows of a reply: read, or returned by a conflict.
  void observe(const clients::TableReply& reply);
  /// Recognises one of this node's own writes in the row; true when it made this node the holder.
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
  /// The greatest token that was seen in a row or a message.
  base::FencingToken highestToken_ = 0;
  /// This node held the lease when the service came back from a copy, and nobody was seen to take
  /// it since: whether it had settled.
  std::optional<bool> heldAtStoreReturn_;
  /// The service came back from a copy while this node ran.
  bool storeReturned_ = false;
  bool started_ = false;
  bool callInFlight_ = false;
  bool releasing_ = false;
  bool stopped_ = false;
  std::function<void()> releaseDone_;
  base::Duration backoff_{};
  base::TimerId stepTimer_ = 0;
  base::TimerId expiryTimer_ = 0;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
