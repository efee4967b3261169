#include "routing/candidate_report.h"

#include <chrono>
#include <string_view>

namespace covewing::routing {

namespace {

std::string_view toString(CandidateKnowledge knowledge) {
  switch (knowledge) {
    case CandidateKnowledge::kNotQueried:
      return "not_queried";
    case CandidateKnowledge::kAssumed:
      return "assumed";
    case CandidateKnowledge::kReplied:
      return "replied";
    case CandidateKnowledge::kRuledOut:
      return "ruled_out";
  }
  return "unknown";
}

}  // namespace

std::string describe(const std::vector<CandidateReport>& candidates) {
  std::string text;
  for (const auto& candidate : candidates) {
    if (!text.empty()) text += ' ';
    text += candidate.instance;
    text += ':';
    text += toString(candidate.knowledge);
    if (!candidate.wait) continue;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(*candidate.wait);
    text += ':' + std::to_string(wait.count());
  }
  return text;
}

}  // namespace covewing::routing
