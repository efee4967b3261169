/// \file
/// A workload: the tenants of a fleet and every call that their callers make, with its time. It is
/// drawn before the run and does not depend on answers (open loop), so that all policies meet the
/// same calls.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/priority.h"
#include "base/time.h"
#include "prefix/prompt.h"

namespace covewing::bench {

/// Text that prompts are put together from; shared by all prompts that contain it.
using PromptSegment = std::shared_ptr<const std::string>;

/// Reproducible text of exactly `tokens` tokens: equal for equal seeds, and different from the
/// first token on for different ones.
PromptSegment promptText(std::uint64_t seed, std::uint32_t tokens);

struct WorkloadTenant {
  std::string name;
  std::string bearerKey;
  std::uint64_t cacheSalt = 0;
  /// Template document as operators write it (config/template_document.h).
  std::string document;
};

/// One call. It is a completion unless `method` is set.
struct Arrival {
  /// From the start of the workload.
  base::Duration at{};
  /// Kind of the call in reports, such as "ruling".
  std::string_view label;
  std::uint32_t tenant = 0;
  /// Index of the caller's zone; callers use nodes of their own zone.
  std::uint32_t zone = 0;
  /// Chooses the node within the zone.
  std::uint32_t nodeDraw = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::vector<PromptSegment> prompt;
  std::uint32_t maximumTokens = 0;
  std::string method;
  std::string target;
  std::string body;
  std::string idempotencyKey;
  bool notRepeatable = false;

  std::uint32_t promptTokens() const;
};

struct Workload {
  std::string model;
  std::string application;
  std::vector<WorkloadTenant> tenants;
  /// In order of time.
  std::vector<Arrival> arrivals;
};

/// Bounds and intensity of a drawn workload.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  base::Duration duration{};
  /// Factor on all rates.
  double load = 1.0;
  /// Further factor on the rates of completions that are not of the highest class.
  double lowerLoad = 1.0;
  /// When the most popular shared document is replaced by a new one; zero: never.
  base::Duration shiftAt{};
  std::uint32_t zones = 3;
};

/// Template document of a bench tenant.
struct TenantDocument {
  std::string bearerKey;
  std::string model;
  std::string application;
  std::vector<std::string> paths;
  base::PriorityClass priority = base::PriorityClass::kUrgent;
  base::Duration deadline{};
  base::Duration holdTime{};
  double requestsPerSecond = 0;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
};
std::string tenantDocument(const TenantDocument& fields);

/// Puts the arrivals into order of time; equal times keep their order.
void sortArrivals(std::vector<Arrival>& arrivals);

/// Evening of a card tournament fleet (docs/WORKLOADS.md).
Workload drawTournaments(const WorkloadOptions& options);
/// Morning of a market fleet (docs/WORKLOADS.md).
Workload drawMarkets(const WorkloadOptions& options);

}  // namespace covewing::bench
