/// \file
/// Messages of the admission channel: leases of a tenant's limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "admission/quota_demand.h"
#include "base/ids.h"
#include "base/time.h"

namespace covewing::admission {

/// A node asks a tenant's home for a share of its limits. It carries the limits as the asker has
/// them in force; the home uses those of the highest revision that it has seen.
struct QuotaLeaseRequest {
  base::TenantId tenant;
  base::Revision revision = 0;
  QuotaLimits limits;
  /// Grows with each ask of the sender's run; the home ignores older ones.
  std::uint64_t sequence = 0;
  /// Fewer tokens than these are of no use: the first waiting request needs them.
  std::uint32_t tokensNeeded = 0;
  /// Tokens that the sender could use, those needed included.
  std::uint32_t tokensWanted = 0;
  /// Concurrency slots that the sender holds from now on, without those wanted.
  std::uint32_t slotsHeld = 0;
  std::uint32_t slotsWanted = 0;
  /// False where the sender only returns slots.
  bool replyWanted = true;
};

/// The home's answer.
struct QuotaLeaseReply {
  base::TenantId tenant;
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  /// Slots granted in addition to those held.
  std::uint32_t slots = 0;
  /// The tokens needed are not there before this, where none was granted.
  base::Duration tokensAvailableAfter{};
  /// When the tokens needed are there behind what was refused before.
  base::Duration retryAfter{};
  /// Tokens left in the tenant's bucket; negative after work that had to be repeated.
  std::int64_t balance = 0;
  /// Slots are scarce: return idle ones at once.
  bool contended = false;
  /// The tenant is close to its limit.
  bool nearLimit = false;
};

/// Tells the home of tokens that were granted and not used, or used without a grant. A lost
/// correction costs the tenant, or grants it, these tokens.
struct QuotaCorrection {
  base::TenantId tenant;
  std::uint32_t returned = 0;
  std::uint32_t charged = 0;
};

using QuotaMessage = std::variant<QuotaLeaseRequest, QuotaLeaseReply, QuotaCorrection>;

std::string encode(const QuotaLeaseRequest& request);
std::string encode(const QuotaLeaseReply& reply);
std::string encode(const QuotaCorrection& correction);
/// Empty when the payload is malformed.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload);

}  // namespace covewing::admission
