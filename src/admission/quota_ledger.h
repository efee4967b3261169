/// \file
/// The home's side of tenant limits: one token bucket and the leased concurrency slots of each
/// tenant that this node is the home of.
///
/// Between home changes at most `concurrency` slots are leased, and tokens leased within any time t
/// are at most `burst + rate * t`, or what more the largest single request takes. A home that sees
/// only a part of the fleet grants that part of the limits: the rest may be in use by nodes that it
/// does not see. A node that becomes the home starts with the part of a full bucket that the
/// options say and what has been earned since, and learns of slots in use from their holders'
/// renewals, so for up to one slot lease after a home change up to twice the limit may be in
/// flight.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "admission/admission_options.h"
#include "admission/quota_messages.h"
#include "base/ids.h"
#include "base/time.h"

namespace covewing::admission {

/// One run of a node that leases.
struct LeaseHolder {
  base::NodeId node;
  base::Incarnation incarnation = 0;
};

/// What a home may answer for.
struct HomeAuthority {
  /// Part of the limits that it grants, 0 to 1.
  double share = 1.0;
  /// Part of a full bucket that an account which is new here starts with, at `since`.
  double initialBucketShare = 1.0;
  /// Before this another node may have been the home.
  base::TimePoint since{};
};

class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaOptions& options) : options_(options) {}

  QuotaLeaseReply handle(const LeaseHolder& holder, const QuotaLeaseRequest& request,
                         const HomeAuthority& authority, base::TimePoint now);
  /// Does nothing for a tenant without an account.
  void applyCorrection(const QuotaCorrection& correction);
  /// Forgets accounts that are as good as new.
  void dropIdle(base::TimePoint now);
  /// Forgets the accounts of tenants that have another home now: what they were granted there is
  /// not known here.
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
  /// A refused request was told to come back then.
  struct ScheduledRetry {
    base::TimePoint at;
    double tokens = 0;
  };
  struct Account {
    base::Revision revision = 0;
    QuotaLimits limits;
    /// Part of the limits granted here.
    double share = 1.0;
    /// Negative after work that was not asked for.
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
  /// Says when the tokens are there.
  void scheduleRetry(Account& account, double needed, base::TimePoint now,
                     QuotaLeaseReply& reply) const;
  void grantSlots(Account& account, const LeaseHolder& holder, const QuotaLeaseRequest& request,
                  base::TimePoint now, QuotaLeaseReply& reply) const;

  QuotaOptions options_;
  std::map<base::TenantId, Account> accounts_;
};

}  // namespace covewing::admission
