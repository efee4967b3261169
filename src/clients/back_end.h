/// \file
/// Address and failure kinds shared by the clients of engines and applications.
#pragma once

#include <cstdint>
#include <string>

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

struct DispatchError {
  DispatchFailure failure = DispatchFailure::kOutcomeUnknown;
  base::Reason reason;
  FailurePoint point = FailurePoint::kBackEnd;
};

}  // namespace covewing::clients
