/// \file
/// What proves that a replica did not run an attempt, or that it no longer works on it. A request
/// that may run once is sent to a second replica only after the first proof, and a request to a
/// model only after one of the two.
#pragma once

#include <string_view>

#include "clients/relay_client.h"

namespace covewing::request {

/// Why it is known that a replica did not run an attempt. A status alone proves nothing: a replica
/// may run a request and then answer with any status of its own.
enum class NotRunProof : std::uint8_t {
  kNone,
  /// The replica states it in the headers of its response.
  kStated,
  /// No byte of the request was sent.
  kNotSent,
  /// The node that was to pass the request on reports that it sent no byte.
  kReportedByNode,
};

/// Name of the proof for logs; empty if there is none.
std::string_view toString(NotRunProof proof);

/// What is known of an attempt that brought no usable response.
struct AttemptEvidence {
  NotRunProof notRun = NotRunProof::kNone;
  clients::RunEnd runEnd = clients::RunEnd::kNotShown;
};

NotRunProof notRunProof(const clients::RelayedAnswer& response);
/// Of a response that was received to its end.
AttemptEvidence evidenceOf(const clients::RelayedAnswer& response);
/// `passedOn` if another node was to pass the attempt on.
AttemptEvidence evidenceOf(const clients::DispatchError& error, bool passedOn);

/// Whether the response reports that the replica did not execute the request.
inline bool wasNotRun(const clients::RelayedAnswer& response) {
  return notRunProof(response) != NotRunProof::kNone;
}

}  // namespace covewing::request
