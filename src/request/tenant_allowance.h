/// \file
/// The quota that one request takes from its tenant's limit. It is acquired when the request is
/// accepted and charged again for each attempt that follows one that may have been executed.
/// Charges for attempts that were not executed are returned at the end.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "admission/tenant_quotas.h"

namespace covewing::request {

class TenantAllowance {
 public:
  /// Without a `demand`, the quota is granted immediately. `quotas` must outlive the allowance.
  TenantAllowance(admission::TenantQuotas& quotas, std::optional<admission::QuotaDemand> demand)
      : quotas_(quotas), demand_(demand) {}
  TenantAllowance(const TenantAllowance&) = delete;
  TenantAllowance& operator=(const TenantAllowance&) = delete;

  /// Acquires the quota. Calls `onVerdict` once, immediately or later, but not after `end`.
  void acquire(admission::TenantQuotas::Callback onVerdict);
  /// Called when the request is sent to a replica. `executions` is the number of earlier attempts
  /// that may have been executed.
  void onDispatch(std::uint32_t executions);
  /// Called when the request has ended. `executions` is the number of attempts that may have been
  /// executed.
  void end(std::uint32_t executions);

 private:
  enum class State : std::uint8_t { kNew, kPending, kGranted, kEnded };

  admission::TenantQuotas& quotas_;
  std::optional<admission::QuotaDemand> demand_;
  State state_ = State::kNew;
  admission::TenantQuotas::WaitId waitId_ = 0;
  /// Number of attempts that were charged.
  std::uint32_t chargedAttempts_ = 1;
};

/// Human-readable reason of a quota refusal, for the log and for the caller.
std::string describeRefusal(const admission::QuotaDemand& demand,
                            const admission::QuotaVerdict& verdict);

}  // namespace covewing::request
