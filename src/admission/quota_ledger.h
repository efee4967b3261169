/// \file
/// The home node's side of tenant limits: a token bucket and the leased concurrency slots of each
/// tenant that this node is the home node of.
///
/// Between changes of the home node at most `concurrency` slots are leased, and the tokens leased
/// within any time t are at most `burst + rate * t`, or the demand of the largest single request if
/// that is more. A home node that sees only a part of the fleet grants only that part of the
/// limits: the rest may be in use by nodes that it does not see. A node that becomes the home node
/// starts with the configured fraction of a full bucket, plus the tokens earned since. The renewals
/// of the lease holders inform it about the slots in use, so for up to one slot lease after a
/// change of the home node up to twice the limit may be in flight.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "admission/admission_options.h"
#include "admission/quota_messages.h"
#include "base/ids.h"
#include "base/time.h"

namespace covewing::admission {

/// One incarnation of a node that holds leases.
struct LeaseHolder {
  base::NodeId node;
  base::Incarnation incarnation = 0;
};

/// The part of a tenant's limits that a home node may grant.
struct HomeAuthority {
  /// Fraction of the limits that it grants, 0 to 1.
  double share = 1.0;
  /// Fraction of a full bucket with which a new account starts at time `since`.
  double initialBucketShare = 1.0;
  /// Before this time another node may have been the home node.
  base::TimePoint since{};
};

class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaOptions& options) : options_(options) {}

  QuotaLeaseReply handle(const LeaseHolder& holder, const QuotaLeaseRequest& request,
                         const HomeAuthority& authority, base::TimePoint now);
  /// Has no effect for a tenant without an account.
  void applyCorrection(const QuotaCorrection& correction);
  /// Drops accounts that do not differ from new ones.
  void dropIdle(base::TimePoint now);
  /// Drops the accounts of tenants that have another home node now: this node has no record of what
  /// is granted there.
  template <class HasOtherHome>
  void dropMoved(HasOtherHome hasOtherHome) {
    std::erase_if(accounts_, [&](const auto& entry) { return hasOtherHome(entry.first); });
  }
  std::size_t accounts() const { return accounts_.size(); }

 private:
  struct SlotLease {
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    base::TimePoint expiresAt;
  };
  /// A refused request was given this time to retry.
  struct ScheduledRetry {
    base::TimePoint at;
    double tokens = 0;
  };
  struct Account {
    base::Revision revision = 0;
    QuotaLimits limits;
    /// Fraction of the limits granted by this node.
    double share = 1.0;
    /// Tokens in the bucket; negative after charges for work that had no grant.
    double tokens = 0;
    base::TimePoint refilledAt;
    std::deque<ScheduledRetry> scheduledRetries;
    std::map<base::NodeId, SlotLease> leases;

    double rate() const { return limits.ratePerSecond * share; }
    double bucketSize() const { return limits.bucketSize() * share; }
  };

  static void refill(Account& account, base::TimePoint now);
  Account& account(const QuotaLeaseRequest& request, const HomeAuthority& authority,
                   base::TimePoint now);
  void grantTokens(Account& account, const QuotaLeaseRequest& request, base::TimePoint now,
                   QuotaLeaseReply& reply) const;
  /// Fills in when the tokens will be available.
  void scheduleRetry(Account& account, double needed, base::TimePoint now,
                     QuotaLeaseReply& reply) const;
  void grantSlots(Account& account, const LeaseHolder& holder, const QuotaLeaseRequest& request,
                  base::TimePoint now, QuotaLeaseReply& reply) const;

  QuotaOptions options_;
  std::map<base::TenantId, Account> accounts_;
};

}  // namespace covewing::admission
