/// \file
/// A tenant's template after expansion: checked, typed, immutable. config/template_document.h holds
/// the operators' form (parameters and body) and its expansion to this one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"

namespace covewing::config {

/// One model that the tenant may use.
struct ModelPermission {
  std::string model;
  /// Adapters allowed besides the base model.
  std::vector<std::string> adapters;
  /// Weights version in force for the tenant; 0 means the newest that is fully rolled out.
  base::WeightsVersion version = 0;
};

struct TenantLimits {
  /// Over all nodes together; 0 means unlimited.
  double requestsPerSecond = 0;
  /// Requests that may come at once above the rate.
  std::uint32_t burst = 0;
  /// Requests in flight over all nodes together; 0 means unlimited.
  std::uint32_t concurrency = 0;
  std::uint32_t maximumOutputTokens = 0;
};

struct RetryPolicy {
  /// Attempts in all, the first included.
  std::uint32_t maximumAttempts = 3;
  /// A broken stream may go on from another engine.
  bool resumeStreams = true;
};

/// What to do while the node cannot confirm that its configuration is current.
enum class StaleChoice : std::uint8_t { kServe, kRefuse };
/// What to do when no live engine is believed to hold the prompt's prefix.
enum class ColdPrefixChoice : std::uint8_t { kRecompute, kHold };
/// What to do while the home zone is cut off from the rest.
enum class CutOffChoice : std::uint8_t { kServe, kRefuse };

/// Calls proxied to an application back end.
struct ApplicationRoute {
  /// Path prefix, such as "/standings".
  std::string path;
  /// Name of the application in the machine list.
  std::string application;
  /// Methods that must run at most once; an Idempotency-Key makes a repeated call recognisable.
  std::vector<std::string> notRepeatableMethods;
};

struct TenantTemplate {
  std::string name;
  base::TenantId id;
  /// Digests of accepted bearer keys (config/bearer_key.h); the keys themselves are not kept.
  std::vector<std::string> keyDigests;
  /// Salt of the tenant's cache identity.
  std::uint64_t cacheSalt = 0;
  std::vector<ModelPermission> models;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  TenantLimits limits;
  /// Longest wait for the first token.
  base::Duration deadline{};
  /// Longest wait in this node's queue.
  base::Duration holdTime{};
  RetryPolicy retry;
  StaleChoice whenStale = StaleChoice::kServe;
  ColdPrefixChoice whenCold = ColdPrefixChoice::kRecompute;
  CutOffChoice whenCutOff = CutOffChoice::kServe;
  std::string homeZone;
  std::vector<ApplicationRoute> applications;
  bool retired = false;
  /// Revision that put this form in force.
  base::Revision revision = 0;
};

}  // namespace covewing::config
