/// \file
/// Decides when a request may run: tenant limits, hold, shed, refuse. A refusal is final and given
/// at once; the caller is told when to come back rather than kept waiting.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/ids.h"
#include "base/priority.h"
#include "base/result_code.h"
#include "base/time.h"
#include "config/configuration_view.h"

namespace covewing::admission {

struct AdmissionRequest {
  base::RequestId requestId;
  config::TenantTemplatePtr tenant;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::uint32_t promptTokens = 0;
};

struct AdmissionVerdict {
  bool admitted = false;
  /// Why it was refused.
  base::Reason reason;
  /// When to come back, with a refusal; zero when waiting does not help.
  base::Duration retryAfter{};
  /// How long the request was held.
  base::Duration held{};
};

/// A place in the admission queue or, once admitted, among the running. Destroying it gives it
/// back.
class AdmissionTicket {
 public:
  virtual ~AdmissionTicket() = default;
  /// The first token of the admitted request has come.
  virtual void onFirstToken() {}
};

using AdmissionCallback = std::function<void(AdmissionVerdict)>;

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  /// Calls back exactly once, unless the ticket is destroyed first; never from inside `admit`.
  virtual std::unique_ptr<AdmissionTicket> admit(AdmissionRequest request,
                                                 AdmissionCallback callback) = 0;
  /// How many retries may start now on this node (the node's share of the retry budget).
  virtual bool takeRetry() = 0;
  /// Tells how long the routed engine is expected to take to the first token, the input of hold and
  /// shed.
  virtual void onExpectedFirstToken(base::PriorityClass priority, base::Duration expected) = 0;
};

}  // namespace covewing::admission
