/// \file
/// Tenant limits that hold over all nodes together, without a central counter. Each tenant has a
/// home node that leases rate tokens and concurrency slots to the nodes that serve it.
///
/// A node uses its leases without asking. Where they do not suffice it asks the home, and requests
/// wait for the answer, at most two ask timeouts. A home that does not answer is bridged by a local
/// share: the tenant's rate divided by the live members, and that share of its concurrency, at
/// least one. Overshoot while bridging is therefore at most one limit plus one request a node.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "admission/admission_options.h"
#include "admission/quota_ledger.h"
#include "admission/quota_messages.h"
#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/time.h"
#include "config/configuration_view.h"
#include "membership/member_directory.h"

namespace covewing::admission {

enum class QuotaOutcome : std::uint8_t { kGranted, kRateLimited, kConcurrencyLimited };

struct QuotaVerdict {
  QuotaOutcome outcome = QuotaOutcome::kGranted;
  /// When to come back, with a refusal.
  base::Duration retryAfter{};
};

/// Messages of this node's side of the leases, for its share of control traffic.
struct QuotaCounts {
  std::uint64_t asks = 0;
  std::uint64_t answers = 0;
  std::uint64_t returns = 0;
  std::uint64_t bridged = 0;
  std::uint64_t malformed = 0;
};

class TenantQuotas {
 public:
  using Callback = std::function<void(QuotaVerdict)>;
  /// Identifies a request that waits for its home; chosen by the caller of `acquire`, unique.
  using WaitId = std::uint64_t;

  TenantQuotas(const QuotaOptions& options, base::Clock& clock, base::TimerService& timers,
               membership::MemberDirectory& directory, base::PeerTransport& transport);
  ~TenantQuotas();
  TenantQuotas(const TenantQuotas&) = delete;
  TenantQuotas& operator=(const TenantQuotas&) = delete;

  /// Takes one request's share of its tenant's limits. `callback` is called exactly once, now or
  /// later, unless `cancel` comes first.
  void acquire(WaitId id, const config::TenantTemplate& tenant, Callback callback);
  /// Forgets a request that still waits.
  void cancel(WaitId id, base::TenantId tenant);
  /// Gives back a granted request's slot, and its token where the request did not run.
  void release(base::TenantId tenant, bool returnToken);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload);
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Waiter {
    WaitId id;
    Callback callback;
  };
  /// What this node holds of one tenant's limits.
  struct Share {
    base::Revision revision = 0;
    config::TenantLimits limits;
    std::uint32_t tokens = 0;
    base::TimePoint tokensExpireAt;
    std::uint32_t slots = 0;
    base::TimePoint slotsExpireAt;
    std::uint32_t inUse = 0;
    bool contended = false;
    /// Own demand, requests a second, decayed.
    double demand = 0;
    base::TimePoint demandAt;
    std::deque<Waiter> waiters;
    /// Outstanding ask; 0 if none.
    std::uint64_t asked = 0;
    base::TimePoint askedAt;
    bool repeated = false;
    base::NodeId home;
    std::uint64_t homeVersion = 0;
    /// Refusals known from the home, given without asking.
    base::TimePoint refusedUntil;
    QuotaOutcome refusal = QuotaOutcome::kGranted;
    /// The home did not answer: the local share applies until then.
    base::TimePoint bridgedUntil;
    double bridgeTokens = 0;
    base::TimePoint bridgeRefilledAt;
  };

  Share& shareOf(const config::TenantTemplate& tenant);
  const membership::Member& homeOf(base::TenantId tenant, Share& share);
  void expire(Share& share) const;
  void noteDemand(Share& share) const;
  bool takeLocally(Share& share) const;
  /// Answers waiters as far as the share goes.
  void serve(Share& share);
  void ask(base::TenantId tenant, Share& share, bool answerWanted);
  void send(base::TenantId tenant, Share& share, bool answerWanted);
  void onGrant(const QuotaGrant& grant);
  void refuseAll(Share& share, QuotaVerdict verdict);
  /// Decides by the local share while the home does not answer.
  void bridge(Share& share);
  QuotaVerdict bridgeOne(Share& share);
  void scheduleReview();
  /// Repeats and gives up asks, renews and returns slots, forgets idle shares.
  void review();
  bool reviewShare(base::TenantId tenant, Share& share);
  static bool limited(const config::TenantLimits& limits);

  QuotaOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  membership::MemberDirectory& directory_;
  base::PeerTransport& transport_;
  QuotaLedger ledger_;
  std::map<base::TenantId, Share> shares_;
  std::uint64_t nextSequence_ = 1;
  base::TimerId reviewTimer_ = 0;
  QuotaCounts counts_;
};

}  // namespace covewing::admission
