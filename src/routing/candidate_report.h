/// \file
/// What a node knew of the candidate replicas of a request that none of them accepted. Written to
/// the log, so that a refusal shows which homes were queried and what they replied.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace covewing::routing {

/// How a node learned what it knows of a candidate.
enum class CandidateKnowledge : std::uint8_t {
  kNotQueried,
  /// The home was not queried, because it reported a queue shortly before.
  kAssumed,
  /// The home replied to this request.
  kReplied,
  /// The home reported that the replica must not receive the request, did not reply, or ended the
  /// wait in its queue.
  kRuledOut,
};

struct CandidateReport {
  std::string instance;
  CandidateKnowledge knowledge = CandidateKnowledge::kNotQueried;
  /// Expected wait at the candidate; empty if unknown.
  std::optional<base::Duration> wait;
};

/// Text of the form `INSTANCE:replied:MILLISECONDS`, separated by spaces.
std::string describe(const std::vector<CandidateReport>& candidates);

}  // namespace covewing::routing
