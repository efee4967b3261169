/// \file
/// Address and failure kinds shared by the clients of engines and applications.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/result_code.h"

namespace covewing::clients {

/// A back end as a client needs it.
struct BackEndAddress {
  base::EngineId id;
  std::string name;
  base::Endpoint endpoint;
};

/// What is known about a dispatch that failed. The distinction carries the "not run" promise.
enum class DispatchFailure : std::uint8_t {
  /// No byte of the request left this node: it did not run.
  kNotSent,
  /// The back end answered that it did not run the request.
  kRefusedNotRun,
  /// A byte may have left and no complete answer came: it may have run, wholly or in part.
  kOutcomeUnknown,
};

/// What a dispatch failed at, where another node passes requests on to the back end.
enum class FailurePoint : std::uint8_t {
  kBackEnd,
  /// The other node, or the connection to it: nothing is known of the back end.
  kRelay,
};

/// By what it is known that a back end no longer works on a dispatch.
enum class RunEnd : std::uint8_t {
  /// Nothing shows it. A connection that was closed by this node proves nothing: the back end may
  /// notice that late, or never.
  kNotShown,
  /// The back end has ended the connection of the request, in order or by a reset.
  kConnectionEnded,
  /// The back end's machine does not acknowledge what this node sends.
  kUnreachable,
  /// No byte of the request was sent.
  kNotSent,
  /// The back end has sent its whole response, or has refused the request.
  kResponded,
};

/// Name of the evidence for logs.
constexpr std::string_view toString(RunEnd end) {
  switch (end) {
    case RunEnd::kNotShown:
      return "not shown";
    case RunEnd::kConnectionEnded:
      return "connection ended";
    case RunEnd::kUnreachable:
      return "unreachable";
    case RunEnd::kNotSent:
      return "not sent";
    case RunEnd::kResponded:
      return "responded";
  }
  return "unknown";
}

struct DispatchError {
  DispatchFailure failure = DispatchFailure::kOutcomeUnknown;
  base::Reason reason;
  FailurePoint point = FailurePoint::kBackEnd;
  RunEnd runEnd = RunEnd::kNotShown;
};

}  // namespace covewing::clients
