/// \file
/// At-most-once claims, as the request path sees them.
///
/// Before a not-repeatable request with an Idempotency-Key is dispatched, a row for its tenant and
/// key is created in the table service. Only the request that created the row may be dispatched;
/// every other request with the same tenant and key is refused. docs/design/request-life.md
/// compares the alternatives.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"

namespace covewing::request {

/// Prefix of the row keys of all claims.
inline constexpr std::string_view kClaimKeyPrefix = "claim/";
/// Number of shards of the claim key space. Expired claims of each shard are removed by one node.
inline constexpr std::uint32_t kClaimShards = 256;

/// A claim row that this node created. It permits one request to be dispatched once.
struct Claim {
  std::string key;
  /// Revision of the commit that created the row. The row is released only while it still has this
  /// revision.
  base::Revision revision = 0;
};

enum class ClaimStatus : std::uint8_t { kOwned, kDuplicate, kUnavailable };

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// Set if `status` is kOwned.
  Claim claim;
  base::Reason reason;
};

using ClaimCallback = std::function<void(ClaimResult)>;

/// A claim to be written into the table service.
struct ClaimSpec {
  /// Key of the row, from claimRowKey.
  std::string key;
  /// Value of the row. It is unique to this claim and therefore identifies who created the row.
  std::string value;
  /// Another node may already have committed the row. So if the claim is abandoned, the row still
  /// has to be read back and released.
  bool uncertain = false;
};

/// Row key of a claim: its shard, the tenant and a 128-bit hash of the Idempotency-Key.
std::string claimRowKey(base::TenantId tenant, std::string_view idempotencyKey);
/// Prefix of the row keys in a shard.
std::string claimShardPrefix(std::uint32_t shard);
/// Row value of a claim: a 128-bit nonce, followed by the identifier of the request, which serves
/// diagnostics only.
std::string claimRowValue(std::uint64_t firstNonce, std::uint64_t secondNonce,
                          const base::RequestId& request);
/// Identifier of the request in the row value of a claim.
std::string_view requestIdOfClaim(std::string_view value);

}  // namespace covewing::request
