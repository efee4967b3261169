/// \file
/// HTTP client of covewingctl: sends one operator call to the given nodes in turn.
///
/// A call that changes state carries an operation identifier that is the same in all attempts, so
/// that a retry after a lost response is recognised and not executed twice.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace covewing::tools {

/// One call of the operator API.
struct ApiCall {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
  /// The call changes state: if its response is lost, its outcome is unknown.
  bool mutates = false;
};

/// Exit status of covewingctl.
enum class ExitStatus : std::uint8_t {
  kOk = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,
  kUnknownOutcome = 4,
};

struct ApiResult {
  ExitStatus status = ExitStatus::kUnreachable;
  /// Body of the node's response; empty if there was no response.
  std::string body;
  /// Reason why there is no final response.
  std::string detail;
};

struct ClientOptions {
  std::vector<base::Endpoint> nodes;
  std::string key;
  /// Timeout of each attempt.
  std::chrono::milliseconds timeout{};
  /// Number of rounds; each round tries all nodes once.
  unsigned rounds = 3;
  /// Pause between two rounds.
  std::chrono::milliseconds pause{};
};

/// Retries the call until a node returns a final response or all rounds are used up.
ApiResult callNodes(const ClientOptions& options, const ApiCall& call);

}  // namespace covewing::tools
