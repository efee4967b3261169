/// \file
/// What happened to one request, step by step: the record behind an operator's `explain`.
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
#include "request/caller_request.h"
#include "routing/routing_policy.h"

namespace covewing::request {

/// One attempt at a back end. Durations count from the start of the request.
struct AttemptTrace {
  std::uint32_t number = 0;
  base::EngineId backEnd;
  std::string name;
  base::Duration startedAfter{};
  /// Position of the first chunk asked for.
  std::uint64_t firstPosition = 0;
  std::uint64_t chunks = 0;
  std::optional<base::Duration> firstTokenAfter;
  std::optional<base::Duration> endedAfter;
  /// Empty while the attempt runs and after its success.
  std::optional<clients::DispatchFailure> failure;
  base::Reason reason;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
};

/// One choice of an engine.
struct RoutingTrace {
  base::Duration decidedAfter{};
  std::string policy;
  /// The engine that was chosen, empty when none qualified.
  std::string chosen;
  std::uint32_t matchedBlocks = 0;
  std::uint32_t importBlocks = 0;
  base::Duration expectedFirstToken{};
  /// The best candidates, at most kMaximumCandidates.
  std::vector<routing::RouteCandidate> candidates;
  base::Reason reason;
};

enum class RequestKind : std::uint8_t { kCompletion, kProxied };

enum class RequestProgress : std::uint8_t { kRunning, kAnswered, kRefused, kDisconnected };

/// The whole record of a request.
struct RequestTrace {
  static constexpr std::size_t kMaximumCandidates = 8;

  base::RequestId id;
  RequestKind kind = RequestKind::kCompletion;
  RequestProgress progress = RequestProgress::kRunning;
  base::TimePoint startedAt;
  std::string tenant;
  /// Model, or method and path.
  std::string subject;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  std::uint32_t promptTokens = 0;
  base::Revision templateRevision = 0;
  bool notRepeatable = false;
  /// Admission's verdict, empty while it waits.
  std::optional<bool> admitted;
  base::Duration held{};
  /// How the at-most-once claim went, empty when none was needed.
  std::string claim;
  std::vector<RoutingTrace> decisions;
  std::vector<AttemptTrace> attempts;
  base::Duration finishedAfter{};
  /// Final refusal, with RequestProgress::kRefused.
  std::optional<Refusal> refusal;
};

/// Keeps the records of recent requests.
class TraceLog {
 public:
  virtual ~TraceLog() = default;
  /// Called when a request starts; the record changes until the request ends.
  virtual void add(std::shared_ptr<const RequestTrace> trace) = 0;
};

}  // namespace covewing::request
