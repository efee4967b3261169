/// \file
/// Messages of the admission channel: leasing of a tenant's limits.
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

/// Request of a node to a tenant's home node for a lease of its limits. It carries the limits that
/// are in force at the sender; the home node uses those of the highest revision it has received.
struct QuotaLeaseRequest {
  base::TenantId tenant;
  base::Revision revision = 0;
  QuotaLimits limits;
  /// Increases with each lease request of the sender's incarnation; the home node ignores older
  /// ones.
  std::uint64_t sequence = 0;
  /// Minimum number of tokens that is of use: the demand of the first waiting request.
  std::uint32_t tokensNeeded = 0;
  /// Number of tokens that the sender could use, including those needed.
  std::uint32_t tokensWanted = 0;
  /// Concurrency slots that the sender holds from now on, excluding those wanted.
  std::uint32_t slotsHeld = 0;
  std::uint32_t slotsWanted = 0;
  /// False if the sender only returns slots.
  bool replyWanted = true;
};

/// Reply of the home node: the lease granted, or a refusal.
struct QuotaLeaseReply {
  base::TenantId tenant;
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  /// Slots granted in addition to those held.
  std::uint32_t slots = 0;
  /// Earliest time after which the tokens needed can be available; set if none were granted.
  base::Duration tokensAvailableAfter{};
  /// Time after which the tokens needed will be available, after those of requests that were
  /// refused earlier.
  base::Duration retryAfter{};
  /// Tokens left in the tenant's bucket; negative after charges for repeated work.
  std::int64_t balance = 0;
  /// Slots are scarce: holders must return idle ones immediately.
  bool contended = false;
  /// The tenant is near its limit.
  bool nearLimit = false;
};

/// Informs the home node of tokens that were granted and not used, or used without a grant. A lost
/// correction costs the tenant these tokens, or grants them to it.
struct QuotaCorrection {
  base::TenantId tenant;
  std::uint32_t returned = 0;
  std::uint32_t charged = 0;
};

using QuotaMessage = std::variant<QuotaLeaseRequest, QuotaLeaseReply, QuotaCorrection>;

std::string encode(const QuotaLeaseRequest& request);
std::string encode(const QuotaLeaseReply& reply);
std::string encode(const QuotaCorrection& correction);
/// Empty if the payload is malformed.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload);

}  // namespace covewing::admission
