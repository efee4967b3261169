/// \file
/// One request's share of its tenant's limit: asked for when the request is taken up, charged again
/// for each attempt behind one that may have run, and given back as far as nothing ran.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "admission/tenant_quotas.h"

namespace covewing::request {

class TenantAllowance {
 public:
  /// Without a demand everything is allowed at once. `quotas` must outlive the allowance.
  TenantAllowance(admission::TenantQuotas& quotas, std::optional<admission::QuotaDemand> demand)
      : quotas_(quotas), demand_(demand) {}
  TenantAllowance(const TenantAllowance&) = delete;
  TenantAllowance& operator=(const TenantAllowance&) = delete;

  /// Calls `answer` once, now or later; not after `end`.
  void acquire(admission::TenantQuotas::Callback onVerdict);
  /// The request is sent to a replica; `runs` attempts before it may have run.
  void onDispatch(std::uint32_t runs);
  /// The request is over; `runs` attempts may have run.
  void end(std::uint32_t runs);

 private:
  enum class State : std::uint8_t { kNew, kPending, kGranted, kEnded };

  admission::TenantQuotas& quotas_;
  std::optional<admission::QuotaDemand> demand_;
  State state_ = State::kNew;
  admission::TenantQuotas::WaitId waitId_ = 0;
  /// Attempts that were counted.
  std::uint32_t chargedAttempts_ = 1;
};

/// Why a request was refused, for its log line and its caller.
std::string describeRefusal(const admission::QuotaDemand& demand,
                            const admission::QuotaVerdict& verdict);

}  // namespace covewing::request
