/// \file
/// HTTP client of covewingctl: one operator call, tried on the given nodes in turn.
///
/// A call that changes something carries an operation identifier that stays the same over all
/// tries, so that a repeat after a lost answer is recognised and not done twice.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace covewing::tools {

/// One call of the operators' interface.
struct ApiCall {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
  /// The call changes something: a lost answer leaves its outcome unknown.
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
  /// The node's answer, empty when there was none.
  std::string body;
  /// Why there was no answer.
  std::string detail;
};

struct ClientOptions {
  std::vector<base::Endpoint> nodes;
  std::string key;
  /// Bound of each try.
  std::chrono::milliseconds timeout{};
  /// How often all nodes are tried.
  unsigned rounds = 3;
  /// Pause between two rounds.
  std::chrono::milliseconds pause{};
};

/// Tries the call until a node gives a final answer.
ApiResult callNodes(const ClientOptions& options, const ApiCall& call);

}  // namespace covewing::tools
