/// \file
/// Operator calls to a node, independent of HTTP. Bodies are JSON as documented in
/// docs/OPERATORS.md.
#pragma once

#include <functional>
#include <string>

#include "base/result_code.h"

namespace covewing::node {

/// An authorised operator call, with method and target as in HTTP.
struct OperatorRequest {
  std::string method;
  /// Path and query, such as "/v1/templates/judges?version=4".
  std::string target;
  std::string body;
};

struct OperatorResponse {
  base::ResultCode code = base::ResultCode::kOk;
  std::string body;
};

class OperatorService {
 public:
  virtual ~OperatorService() = default;
  /// Calls `callback` exactly once, after this function has returned.
  virtual void call(OperatorRequest request, std::function<void(OperatorResponse)> callback) = 0;
};

}  // namespace covewing::node
