/// \file
/// Messages of the admission channel: leases of a tenant's limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/time.h"
#include "config/tenant_template.h"

namespace covewing::admission {

/// A node asks a tenant's home for a share of its limits. It carries the limits as the asker has
/// them in force; the home uses those of the highest revision that it has seen.
struct QuotaAsk {
  base::TenantId tenant;
  base::Revision revision = 0;
  config::TenantLimits limits;
  /// Grows with each ask of the sender's run; the home ignores older ones.
  std::uint64_t sequence = 0;
  std::uint32_t tokensWanted = 0;
  /// Concurrency slots that the sender holds from now on, without those wanted.
  std::uint32_t slotsHeld = 0;
  std::uint32_t slotsWanted = 0;
  /// False where the sender only returns slots.
  bool answerWanted = true;
};

/// The home's answer.
struct QuotaGrant {
  base::TenantId tenant;
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  /// Slots granted in addition to those held.
  std::uint32_t slots = 0;
  /// When tokens are likely, where none was granted.
  base::Duration tokensAfter{};
  /// Slots are scarce: return idle ones at once.
  bool contended = false;
};

using QuotaMessage = std::variant<QuotaAsk, QuotaGrant>;

std::string encode(const QuotaAsk& ask);
std::string encode(const QuotaGrant& grant);
/// Empty when the payload is malformed.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload);

}  // namespace covewing::admission
