#include "request/attempt_evidence.h"

namespace covewing::request {

std::string_view toString(NotRunProof proof) {
  switch (proof) {
    case NotRunProof::kNone:
      return "";
    case NotRunProof::kStated:
      return "stated";
    case NotRunProof::kNotSent:
      return "not sent";
    case NotRunProof::kReportedByNode:
      return "reported by another node";
  }
  return "unknown";
}

NotRunProof notRunProof(const clients::RelayedAnswer& response) {
  return response.notExecuted ? NotRunProof::kStated : NotRunProof::kNone;
}

AttemptEvidence evidenceOf(const clients::RelayedAnswer& response) {
  return {notRunProof(response), clients::RunEnd::kResponded};
}

AttemptEvidence evidenceOf(const clients::DispatchError& error, bool passedOn) {
  if (error.failure != clients::DispatchFailure::kNotSent)
    return {NotRunProof::kNone, error.runEnd};
  return {passedOn ? NotRunProof::kReportedByNode : NotRunProof::kNotSent,
          clients::RunEnd::kNotSent};
}

}  // namespace covewing::request
