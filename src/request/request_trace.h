/// \file
/// Record of the steps of one request, as shown by the operator command `explain`.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/back_end.h"
#include "engine_routing/routing_policy.h"
#include "request/caller_request.h"

namespace covewing::request {

/// One attempt at a back end. All durations are measured from the start of the request.
struct AttemptTrace {
  std::uint32_t number = 0;
  base::EngineId backEnd;
  std::string name;
  base::Duration startedAfter{};
  /// Position of the first chunk that was requested.
  std::uint64_t firstPosition = 0;
  std::uint64_t chunks = 0;
  std::optional<base::Duration> firstTokenAfter;
  std::optional<base::Duration> endedAfter;
  /// Kind of failure; empty while the attempt is in progress and if it succeeded.
  std::optional<clients::DispatchFailure> failure;
  base::Reason reason;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
};

/// One routing decision.
struct RoutingTrace {
  base::Duration decidedAfter{};
  std::string policy;
  /// Name of the chosen engine; empty if none was eligible.
  std::string chosen;
  std::uint32_t matchedBlocks = 0;
  std::uint32_t importBlocks = 0;
  base::Duration expectedTimeToFirstToken{};
  /// The best candidates, at most RequestTrace::kMaximumCandidates.
  std::vector<engine_routing::RouteCandidate> candidates;
  base::Reason reason;
};

enum class RequestKind : std::uint8_t { kCompletion, kProxied };

enum class RequestProgress : std::uint8_t { kRunning, kAnswered, kRefused, kDisconnected };

/// The complete record of a request.
struct RequestTrace {
  static constexpr std::size_t kMaximumCandidates = 8;

  base::RequestId id;
  RequestKind kind = RequestKind::kCompletion;
  RequestProgress progress = RequestProgress::kRunning;
  base::TimePoint startedAt;
  std::string tenant;
  /// The model of a completion, or the method and path of a proxied request.
  std::string subject;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::uint32_t promptTokens = 0;
  base::Revision templateRevision = 0;
  bool notRepeatable = false;
  /// Decision of the admission control; empty while it is pending.
  std::optional<bool> admitted;
  base::Duration held{};
  /// State of the at-most-once claim; empty if none was needed.
  std::string claim;
  std::vector<RoutingTrace> decisions;
  std::vector<AttemptTrace> attempts;
  base::Duration finishedAfter{};
  /// Final refusal, if `progress` is kRefused.
  std::optional<Refusal> refusal;
};

/// Stores the records of recent requests.
class TraceLog {
 public:
  virtual ~TraceLog() = default;
  /// Called when a request starts. The record keeps changing until the request ends.
  virtual void add(std::shared_ptr<const RequestTrace> trace) = 0;
};

}  // namespace covewing::request
