/// \file
/// Tenant limits that hold over all nodes together, without a central counter. Each tenant has a
/// home node that leases rate tokens and concurrency slots to the nodes that serve it.
///
/// A node uses its leases without asking. Where they do not suffice it asks the home, and requests
/// wait for the answer. A home that does not answer is passed over for a while, and the next
/// in line, which grants a part of the limits, is asked in its place. Where that one does not
/// answer either, or no other node is seen, the node grants its local share: the limits divided by
/// the nodes known lately. Shares smaller than a request are granted by chance, so that all nodes'
/// grants together keep to the limits and no request is too large to be served.
///
/// Overshoot: a home grants no more than the part of the limits that belongs to the nodes it sees,
/// so the parts of a divided fleet sum up to the whole. What comes on top, within any span: half a
/// bucket for each change of the home, and while some nodes still wait for a home to be declared
/// dead, their local shares.
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

/// Who decided about a request.
enum class QuotaDecider : std::uint8_t { kLease, kHome, kCachedRefusal, kLocalShare };

struct QuotaVerdict {
  QuotaOutcome outcome = QuotaOutcome::kGranted;
  /// When to come back, with a refusal.
  base::Duration retryAfter{};
  QuotaDecider decider = QuotaDecider::kLease;
  /// Granted to a tenant that is close to its limit.
  bool nearLimit = false;
  /// Tokens left when a home refused; the home's name.
  std::int64_t balance = 0;
  std::string home;
};

/// Counts since the start, for metrics and for the share of control traffic.
struct QuotaCounts {
  std::uint64_t leaseRequests = 0;
  std::uint64_t replies = 0;
  /// Messages that return slots or correct what was granted.
  std::uint64_t corrections = 0;
  /// Requests granted from the local share.
  std::uint64_t localGrants = 0;
  /// Homes that were passed over because they did not answer.
  std::uint64_t unresponsiveHomes = 0;
  std::uint64_t malformed = 0;
};

/// All must outlive the quotas and share their thread.
struct QuotaEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  membership::MemberDirectory& directory;
  base::PeerTransport& transport;
  /// The nodes that may hold a share: more than are seen while some are cut off.
  std::function<std::size_t()> knownNodes;
};

class TenantQuotas {
 public:
  using Callback = std::function<void(const QuotaVerdict&)>;
  /// Identifies a request that waits for its home; chosen by the caller of `acquire`, unique.
  using WaitId = std::uint64_t;

  TenantQuotas(const QuotaOptions& options, QuotaEnvironment environment);
  ~TenantQuotas();
  TenantQuotas(const TenantQuotas&) = delete;
  TenantQuotas& operator=(const TenantQuotas&) = delete;

  /// A number that no other request has, for callers without one of their own.
  WaitId newWaitId() { return ++lastWaitId_; }
  /// Takes one request's share of its tenant's limits. `callback` is called exactly once, now or
  /// later, unless `cancel` comes first.
  void acquire(WaitId id, const QuotaDemand& demand, Callback callback);
  /// Forgets a request that still waits.
  void cancel(WaitId id, base::TenantId tenant);
  /// Gives back a granted request's slot, and `unused` of its tokens.
  void release(base::TenantId tenant, std::uint32_t unused);
  /// Counts work of a granted request that was not asked for: a repeated attempt.
  void charge(base::TenantId tenant, std::uint32_t tokens);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload);
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Waiter {
    WaitId id;
    std::uint32_t tokens;
    Callback callback;
  };
  /// A refusal by the home that holds for all requests as large, until then.
  struct CachedRefusal {
    base::TimePoint until;
    std::uint32_t tokens = 0;
    base::Duration retryAfter{};
    std::int64_t balance = 0;
  };
  /// What this node holds of one tenant's limits.
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
    /// Own demand, tokens a second, decayed.
    double demand = 0;
    base::TimePoint demandAt;
    std::deque<Waiter> waiters;
    /// Outstanding ask; 0 if none.
    std::uint64_t pendingSequence = 0;
    base::TimePoint requestedAt;
    std::uint32_t retries = 0;
    /// Homes that were silent since the last answer.
    std::uint32_t unresponsiveHomes = 0;
    base::NodeId home;
    std::uint64_t homeVersion = 0;
    CachedRefusal refusal;
    /// No home answers: the local share applies until then.
    base::TimePoint localShareUntil;
    double localTokens = 0;
    base::TimePoint localRefilledAt;
  };

  Share& shareOf(const QuotaDemand& demand);
  const membership::Member& homeOf(base::TenantId tenant, Share& share);
  bool unresponsive(base::NodeId node) const;
  /// Notices changes of the membership, which may have made this node a home or ended that.
  void updateMembership();
  HomeAuthority authorityFor(base::TenantId tenant) const;
  bool justStarted() const;
  /// The nodes that may hold a share of the limits.
  std::size_t assumedNodeCount() const;
  /// No other node is seen, though there may be others.
  bool isolated() const;
  /// Whether `home` may answer for the tenant's limits: any other node, and this one where it is
  /// not just the next in line of its own accord.
  bool mayDecide(base::TenantId tenant, const membership::Member& home) const;
  void expireLeases(Share& share) const;
  void recordDemand(Share& share, std::uint32_t tokens) const;
  bool takeFromLease(Share& share, std::uint32_t tokens) const;
  /// Answers waiters as far as the share goes.
  void serveWaiters(Share& share);
  void requestLease(base::TenantId tenant, Share& share, bool replyWanted);
  void sendRequest(base::TenantId tenant, Share& share, bool replyWanted);
  void sendCorrection(const QuotaCorrection& correction, const membership::Member& home);
  void onReply(const QuotaLeaseReply& reply);
  void onRefusalReply(base::TenantId tenant, Share& share, const QuotaLeaseReply& reply);
  QuotaVerdict cachedRefusal(const Share& share);
  std::string homeName(const Share& share) const;
  /// The home did not answer: asks the next in line, or goes on alone.
  void onUnresponsiveHome(base::TenantId tenant, Share& share);
  /// Decides by the local share while no home answers.
  void decideWaitersLocally(Share& share);
  QuotaVerdict decideLocally(Share& share, std::uint32_t tokens);
  bool takeFromLocalShare(Share& share, std::uint32_t tokens, base::TimePoint now);
  void scheduleReview();
  /// Repeats and gives up asks, renews and returns slots, forgets idle shares.
  void review();
  bool reviewShare(base::TenantId tenant, Share& share);

  QuotaOptions options_;
  QuotaEnvironment environment_;
  QuotaLedger ledger_;
  std::map<base::TenantId, Share> shares_;
  /// Homes that did not answer, and until when they are passed over.
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
