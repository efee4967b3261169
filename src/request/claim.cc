#include "request/claim.h"

#include <fmt/format.h>

#include <algorithm>

namespace covewing::request {

namespace {
constexpr std::string_view kSecondHashPrefix = "claim-2/";
}  // namespace

std::string claimRowKey(base::TenantId tenant, std::string_view idempotencyKey) {
  const std::uint64_t first = base::hashName(idempotencyKey);
  const std::uint64_t second =
      base::hashName(fmt::format("{}{}", kSecondHashPrefix, idempotencyKey));
  const std::uint64_t shard = base::mixHash(tenant.value, first) % kClaimShards;
  return fmt::format("{}{:016x}/{:016x}{:016x}",
                     claimShardPrefix(static_cast<std::uint32_t>(shard)), tenant.value, first,
                     second);
}

std::string claimShardPrefix(std::uint32_t shard) {
  return fmt::format("{}{:02x}/", kClaimKeyPrefix, shard);
}

std::string claimRowValue(std::uint64_t firstNonce, std::uint64_t secondNonce,
                          const base::RequestId& request) {
  return fmt::format("{:016x}{:016x} {}", firstNonce, secondNonce, request.value);
}

std::string_view requestIdOfClaim(std::string_view value) {
  return value.substr(std::min(value.size(), value.find(' ') + 1));
}

}  // namespace covewing::request
