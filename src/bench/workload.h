/// \file
/// A workload: the tenants of a fleet and all calls of their callers with their times. It is drawn
/// before the run and does not depend on responses (open loop), so that all policies receive the
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

/// A part of a prompt's text. Prompts are concatenations of segments; a segment is shared by all
/// prompts that contain it.
using PromptSegment = std::shared_ptr<const std::string>;

/// Returns reproducible text of exactly `tokens` tokens. Equal seeds give equal texts; texts of
/// different seeds differ from the first token on.
PromptSegment promptText(std::uint64_t seed, std::uint32_t tokens);

struct WorkloadTenant {
  std::string name;
  std::string bearerKey;
  std::uint64_t cacheSalt = 0;
  /// Template document as operators write it (config/template_document.h).
  std::string document;
};

/// One call: a proxied call if `method` is set, otherwise a completion.
struct Arrival {
  /// Time of the call from the start of the workload.
  base::Duration at{};
  /// Kind of the call in reports, such as "ruling".
  std::string_view label;
  /// Index into Workload::tenants.
  std::uint32_t tenant = 0;
  /// Index of the caller's zone; callers use nodes of their own zone.
  std::uint32_t zone = 0;
  /// Random number that selects the node within the zone.
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
  /// In ascending order of time.
  std::vector<Arrival> arrivals;
};

/// Parameters of a drawn workload.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  base::Duration duration{};
  /// Factor by which all rates are multiplied.
  double load = 1.0;
  /// Further factor for the rates of completions below the highest class.
  double lowerLoad = 1.0;
  /// Time at which the shared document with the highest demand is replaced by a new one; zero if it
  /// is never replaced.
  base::Duration shiftAt{};
  std::uint32_t zones = 3;
};

/// Fields of the template document of a benchmark tenant.
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
/// Returns the template document as JSON.
std::string tenantDocument(const TenantDocument& fields);

/// Sorts the arrivals by time; arrivals at equal times keep their order.
void sortArrivals(std::vector<Arrival>& arrivals);

/// Draws the workload of a card tournament fleet on an evening (docs/WORKLOADS.md).
Workload drawTournaments(const WorkloadOptions& options);
/// Draws the workload of a market fleet on a morning (docs/WORKLOADS.md).
Workload drawMarkets(const WorkloadOptions& options);

}  // namespace covewing::bench
