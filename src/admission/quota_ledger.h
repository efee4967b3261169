/// \file
/// The home's side of tenant limits: one token bucket and the leased concurrency slots of each
/// tenant that this node is the home of.
///
/// Between home changes at most `concurrency` slots are leased, and tokens leased within any time t
/// are at most `burst + rate * t`. A node that becomes the home starts from a full bucket and
/// learns of slots in use from their holders' renewals, so for up to one slot lease after a home
/// change up to twice the limit may be in flight, and one more burst may pass.
#pragma once

#include <cstdint>
#include <map>

#include "admission/admission_options.h"
#include "admission/quota_messages.h"
#include "base/ids.h"
#include "base/time.h"

namespace covewing::admission {

/// One run of a node that leases.
struct Borrower {
  base::NodeId node;
  base::Incarnation incarnation = 0;
};

class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaOptions& options) : options_(options) {}

  QuotaGrant handle(const Borrower& borrower, const QuotaAsk& ask, base::TimePoint now);
  /// Forgets accounts that are as good as new.
  void dropIdle(base::TimePoint now);
  std::size_t accounts() const { return accounts_.size(); }

 private:
  struct SlotLease {
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    base::TimePoint expiresAt;
  };
  struct Account {
    base::Revision revision = 0;
    config::TenantLimits limits;
    double tokens = 0;
    base::TimePoint refilledAt;
    std::map<base::NodeId, SlotLease> leases;
  };

  Account& account(const QuotaAsk& ask, base::TimePoint now);
  static double bucketSize(const config::TenantLimits& limits);
  static void refill(Account& account, base::TimePoint now);
  void grantTokens(Account& account, const QuotaAsk& ask, QuotaGrant& grant) const;
  void grantSlots(Account& account, const Borrower& borrower, const QuotaAsk& ask,
                  base::TimePoint now, QuotaGrant& grant) const;

  QuotaOptions options_;
  std::map<base::TenantId, Account> accounts_;
};

}  // namespace covewing::admission
