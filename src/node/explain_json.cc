#include "node/explain_json.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/result_code.h"

namespace covewing::node {

namespace {

using Json = nlohmann::ordered_json;

std::string_view toString(request::RequestProgress progress) {
  switch (progress) {
    case request::RequestProgress::kRunning:
      return "running";
    case request::RequestProgress::kAnswered:
      return "answered";
    case request::RequestProgress::kRefused:
      return "refused";
    case request::RequestProgress::kDisconnected:
      return "disconnected";
  }
  return "";
}

std::string_view toString(clients::DispatchFailure failure) {
  switch (failure) {
    case clients::DispatchFailure::kNotSent:
      return "not-sent";
    case clients::DispatchFailure::kRefusedNotRun:
      return "refused-not-run";
    case clients::DispatchFailure::kOutcomeUnknown:
      return "outcome-unknown";
  }
  return "";
}

Json reasonJson(const base::Reason& reason) {
  return {{"code", static_cast<int>(reason.code)},
          {"name", base::describe(reason.code).name},
          {"detail", reason.detail}};
}

Json candidateJson(const engine_routing::RouteCandidate& candidate) {
  return {{"engine", candidate.name},
          {"matched_blocks", candidate.matchedBlocks},
          {"doubtful", candidate.doubtful},
          {"expected_first_token_ms", base::toMilliseconds(candidate.expectedTimeToFirstToken)},
          {"note", candidate.note}};
}

Json decisionJson(const request::RoutingTrace& decision) {
  Json json = {{"at_ms", base::toMilliseconds(decision.decidedAfter)},
               {"policy", decision.policy},
               {"chosen", decision.chosen},
               {"matched_blocks", decision.matchedBlocks},
               {"import_blocks", decision.importBlocks},
               {"expected_first_token_ms", base::toMilliseconds(decision.expectedTimeToFirstToken)},
               {"candidates", Json::array()}};
  for (const engine_routing::RouteCandidate& candidate : decision.candidates) {
    json["candidates"].push_back(candidateJson(candidate));
  }
  if (decision.reason.code != base::ResultCode::kOk) json["reason"] = reasonJson(decision.reason);
  return json;
}

Json attemptJson(const request::AttemptTrace& attempt) {
  Json json = {{"number", attempt.number},
               {"back_end", attempt.name},
               {"started_ms", base::toMilliseconds(attempt.startedAfter)},
               {"first_position", attempt.firstPosition},
               {"chunks", attempt.chunks},
               {"prompt_tokens", attempt.promptTokens},
               {"cached_tokens", attempt.cachedTokens}};
  if (attempt.firstTokenAfter.has_value()) {
    json["first_token_ms"] = base::toMilliseconds(*attempt.firstTokenAfter);
  }
  if (attempt.endedAfter.has_value()) {
    json["ended_ms"] = base::toMilliseconds(*attempt.endedAfter);
  }
  if (attempt.failure.has_value()) {
    json["failure"] = toString(*attempt.failure);
    json["reason"] = reasonJson(attempt.reason);
  }
  return json;
}

Json refusalJson(const request::Refusal& refusal) {
  Json json = reasonJson(refusal.reason);
  json["outcome"] = refusal.outcome == request::Outcome::kNotRun ? "not-run" : "unknown";
  json["retry_after_ms"] = base::toMilliseconds(refusal.retryAfter);
  return json;
}

Json admissionJson(const request::RequestTrace& trace) {
  if (!trace.admitted.has_value()) return {{"verdict", "waiting"}};
  return {{"verdict", *trace.admitted ? "admitted" : "refused"},
          {"held_ms", base::toMilliseconds(trace.held)}};
}

}  // namespace

std::string explainJson(const request::RequestTrace& trace) {
  const bool completion = trace.kind == request::RequestKind::kCompletion;
  Json json = {{"request", trace.id.value},
               {"kind", completion ? "completion" : "proxied"},
               {"progress", toString(trace.progress)},
               {"tenant", trace.tenant},
               {"template_version", trace.templateRevision},
               {"subject", trace.subject},
               {"priority", base::toString(trace.priority)},
               {"prompt_tokens", trace.promptTokens},
               {"not_repeatable", trace.notRepeatable},
               {"admission", admissionJson(trace)},
               {"claim", trace.claim},
               {"decisions", Json::array()},
               {"attempts", Json::array()}};
  for (const request::RoutingTrace& decision : trace.decisions) {
    json["decisions"].push_back(decisionJson(decision));
  }
  for (const request::AttemptTrace& attempt : trace.attempts) {
    json["attempts"].push_back(attemptJson(attempt));
  }
  if (trace.progress != request::RequestProgress::kRunning) {
    json["finished_ms"] = base::toMilliseconds(trace.finishedAfter);
  }
  if (trace.refusal.has_value()) json["refusal"] = refusalJson(*trace.refusal);
  // Text from callers, such as paths and models, may contain invalid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace covewing::node
