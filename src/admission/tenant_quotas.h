/// \file
/// Tenant limits that hold across all nodes without a central counter. Each tenant has a home node,
/// which leases rate tokens and concurrency slots to the nodes that serve the tenant.
///
/// A node uses its leases without further messages. If they do not suffice, it sends a lease
/// request to the home node, and its requests wait for the reply. An unresponsive home node is
/// skipped for a while, and the next node in rendezvous order, which grants a part of the limits,
/// is queried instead. If that one does not respond either, or no other node is visible, the node
/// grants from its local share: the limits divided by the number of recently known nodes. A local
/// share smaller than a request is granted with a matching probability, so that the grants of all
/// nodes together keep to the limits and no request is too large to be served.
///
/// Overshoot: a home node grants no more than the part of the limits that belongs to the nodes it
/// sees, so the parts of a partitioned fleet add up to the whole. The following may come on top
/// within any period: half a bucket for each change of the home node, and the local shares of the
/// nodes that still wait for a home node to be declared dead.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admission/admission_options.h"
#include "admission/quota_ledger.h"
#include "admission/quota_messages.h"
#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"

namespace covewing::admission {

enum class QuotaOutcome : std::uint8_t { kGranted, kRateLimited, kConcurrencyLimited };

/// Origin of the decision about a request.
enum class QuotaDecider : std::uint8_t { kLease, kHome, kCachedRefusal, kLocalShare };

struct QuotaVerdict {
  QuotaOutcome outcome = QuotaOutcome::kGranted;
  /// Recommended time until a retry, for a refusal.
  base::Duration retryAfter{};
  QuotaDecider decider = QuotaDecider::kLease;
  /// The request was granted, and its tenant is near its limit.
  bool nearLimit = false;
  /// For a refusal by a home node: tokens left in the bucket, and the name of the home node.
  std::int64_t balance = 0;
  std::string home;
};

/// Counters since the start, for metrics and for measuring the share of control traffic.
struct QuotaCounts {
  std::uint64_t leaseRequests = 0;
  std::uint64_t replies = 0;
  /// Messages that return slots or correct earlier grants.
  std::uint64_t corrections = 0;
  /// Requests granted from the local share.
  std::uint64_t localGrants = 0;
  /// Home nodes that were skipped because they were unresponsive.
  std::uint64_t unresponsiveHomes = 0;
  std::uint64_t malformed = 0;
};

/// All members must outlive the quotas and share their thread.
struct QuotaEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  membership::MemberDirectory& directory;
  base::PeerTransport& transport;
  /// Number of nodes that may hold a share of the limits: more than are visible while some are
  /// partitioned.
  std::function<std::size_t()> knownNodes;
};

class TenantQuotas {
 public:
  using Callback = std::function<void(const QuotaVerdict&)>;
  /// Identifies a request that waits for its home node; chosen by the caller of `acquire`, unique.
  using WaitId = std::uint64_t;

  TenantQuotas(const QuotaOptions& options, QuotaEnvironment environment);
  ~TenantQuotas();
  TenantQuotas(const TenantQuotas&) = delete;
  TenantQuotas& operator=(const TenantQuotas&) = delete;

  /// An id that no other request has, for callers without ids of their own.
  WaitId newWaitId() { return ++lastWaitId_; }
  /// Acquires the demand of one request from its tenant's limits. `callback` is called exactly
  /// once, now or later, unless `cancel` is called first.
  void acquire(WaitId id, const QuotaDemand& demand, Callback callback);
  /// Drops a request that is still waiting.
  void cancel(WaitId id, base::TenantId tenant);
  /// Returns the slot of a granted request, and `unused` of its tokens.
  void release(base::TenantId tenant, std::uint32_t unused);
  /// Charges work of a granted request that had no grant: a repeated attempt.
  void charge(base::TenantId tenant, std::uint32_t tokens);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload);
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Waiter {
    WaitId id;
    std::uint32_t tokens;
    Callback callback;
  };
  /// A refusal by the home node that applies to all requests of at least `tokens` tokens up to
  /// `until`.
  struct CachedRefusal {
    base::TimePoint until;
    std::uint32_t tokens = 0;
    base::Duration retryAfter{};
    std::int64_t balance = 0;
  };
  /// The leases of one tenant's limits that this node holds.
  struct Share {
    base::Revision revision = 0;
    QuotaLimits limits;
    std::uint32_t tokens = 0;
    base::TimePoint tokensExpireAt;
    std::uint32_t slots = 0;
    base::TimePoint slotsExpireAt;
    std::uint32_t inUse = 0;
    bool contended = false;
    bool nearLimit = false;
    /// Own demand in tokens per second, with exponential decay.
    double demand = 0;
    base::TimePoint demandAt;
    std::deque<Waiter> waiters;
    /// Sequence number of the lease request in flight; 0 if none.
    std::uint64_t pendingSequence = 0;
    base::TimePoint requestedAt;
    std::uint32_t retries = 0;
    /// Number of home nodes that were unresponsive since the last reply.
    std::uint32_t unresponsiveHomes = 0;
    base::NodeId home;
    std::uint64_t homeVersion = 0;
    CachedRefusal refusal;
    /// No home node responds: the local share applies until then.
    base::TimePoint localShareUntil;
    double localTokens = 0;
    base::TimePoint localRefilledAt;
  };

  Share& shareOf(const QuotaDemand& demand);
  const membership::Member& homeOf(base::TenantId tenant, Share& share);
  bool unresponsive(base::NodeId node) const;
  /// Handles membership changes, which may have made this node a home node or ended that role.
  void updateMembership();
  HomeAuthority authorityFor(base::TenantId tenant) const;
  bool justStarted() const;
  /// Number of nodes that may hold a share of the limits.
  std::size_t assumedNodeCount() const;
  /// No other node is visible, although others may exist.
  bool isolated() const;
  /// Whether `home` may decide on the tenant's limits: any other node may; this node may only if it
  /// is not isolated and is the home node by its full view, not merely the next in line after
  /// skipping others.
  bool mayDecide(base::TenantId tenant, const membership::Member& home) const;
  void expireLeases(Share& share) const;
  void recordDemand(Share& share, std::uint32_t tokens) const;
  bool takeFromLease(Share& share, std::uint32_t tokens) const;
  /// Grants waiting requests as far as the leases suffice.
  void serveWaiters(Share& share);
  void requestLease(base::TenantId tenant, Share& share, bool replyWanted);
  void sendRequest(base::TenantId tenant, Share& share, bool replyWanted);
  void sendCorrection(const QuotaCorrection& correction, const membership::Member& home);
  void onReply(const QuotaLeaseReply& reply);
  void onRefusalReply(base::TenantId tenant, Share& share, const QuotaLeaseReply& reply);
  QuotaVerdict cachedRefusal(const Share& share);
  std::string homeName(const Share& share) const;
  /// The home node did not respond: queries the next in line, or decides locally.
  void onUnresponsiveHome(base::TenantId tenant, Share& share);
  /// Decides all waiting requests by the local share, which applies while no home node responds.
  void decideWaitersLocally(Share& share);
  QuotaVerdict decideLocally(Share& share, std::uint32_t tokens);
  bool takeFromLocalShare(Share& share, std::uint32_t tokens, base::TimePoint now);
  void scheduleReview();
  /// Retries or abandons lease requests, renews and returns slots, drops idle shares.
  void review();
  bool reviewShare(base::TenantId tenant, Share& share);

  QuotaOptions options_;
  QuotaEnvironment environment_;
  QuotaLedger ledger_;
  std::map<base::TenantId, Share> shares_;
  /// Unresponsive home nodes, and until when they are skipped.
  std::map<base::NodeId, base::TimePoint> unresponsiveUntil_;
  base::TimePoint startedAt_;
  std::uint64_t membershipVersion_ = 0;
  base::TimePoint membershipChangedAt_;
  std::uint64_t nextSequence_ = 1;
  WaitId lastWaitId_ = 0;
  base::TimerId reviewTimer_ = 0;
  QuotaCounts counts_;
};

}  // namespace covewing::admission
