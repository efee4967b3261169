/// \file
/// Interface of admission control: decides whether and when a request may run, by tenant limits and
/// available capacity. A request is admitted, held for a while, or refused. A refusal is final and
/// returned immediately; it includes a recommended retry delay, so that the caller is not kept
/// waiting.
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
  /// Reason of the refusal; empty if the request was admitted.
  base::Reason reason;
  /// Recommended time until a retry, for a refusal; zero if waiting does not help.
  base::Duration retryAfter{};
  /// Time that the request was held before this decision.
  base::Duration held{};
};

/// Represents a request in the hold queue or, once admitted, among the running requests. Destroying
/// the ticket releases the slot.
class AdmissionTicket {
 public:
  virtual ~AdmissionTicket() = default;
  /// Called when the first token of the admitted request was received.
  virtual void onFirstToken() {}
};

using AdmissionCallback = std::function<void(AdmissionVerdict)>;

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  /// Calls `callback` exactly once, unless the ticket is destroyed first. The callback is never
  /// called from within `admit`.
  virtual std::unique_ptr<AdmissionTicket> admit(AdmissionRequest request,
                                                 AdmissionCallback callback) = 0;
  /// Takes one retry from this node's share of the retry budget; false if none is left.
  virtual bool takeRetry() = 0;
  /// Reports the expected time to first token of the engine that a request was routed to: the load
  /// signal for hold and shed.
  virtual void onExpectedFirstToken(base::PriorityClass priority, base::Duration expected) = 0;
};

}  // namespace covewing::admission
