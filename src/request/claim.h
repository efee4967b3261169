/// \file
/// At-most-once claims, as the request path sees them.
///
/// Before a not-repeatable request with an Idempotency-Key is dispatched, a row for its tenant and
/// key is created in the table service. Whoever created the row may dispatch; everybody else is
/// refused. docs/design/request-life.md weighs the ways.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"

namespace covewing::request {

/// First part of every claim's row key.
inline constexpr std::string_view kClaimKeyPrefix = "claim/";
/// Claims are spread over this many parts of the key space, each cleaned by one node.
inline constexpr std::uint32_t kClaimShards = 256;

/// A row that this node created; the right to dispatch one request once.
struct Claim {
  std::string key;
  /// Revision of the commit that created the row: condition of its release.
  base::Revision revision = 0;
};

enum class ClaimStatus : std::uint8_t { kOwned, kDuplicate, kUnavailable };

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// Set with kOwned.
  Claim claim;
  base::Reason reason;
};

using ClaimCallback = std::function<void(ClaimResult)>;

/// A claim to be made.
struct ClaimSpec {
  /// Key of the row (claimRowKey).
  std::string key;
  /// Value of the row, unique to this claim: it shows who created the row.
  std::string value;
  /// Another node may have committed it already.
  bool uncertain = false;
};

/// Key of the claim's row: shard, tenant and a 128-bit hash of the Idempotency-Key.
std::string claimRowKey(base::TenantId tenant, std::string_view idempotencyKey);
/// First part of the keys in a shard.
std::string claimShardPrefix(std::uint32_t shard);
/// Value of the claim's row: the nonce, and the request for people.
std::string claimRowValue(std::uint64_t firstNonce, std::uint64_t secondNonce,
                          const base::RequestId& request);
/// The request that a claim's value names.
std::string_view requestIdOfClaim(std::string_view value);

}  // namespace covewing::request
