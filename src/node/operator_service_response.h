/// \file
/// Bodies of the responses to operator calls. Internal to the operator service.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "config/field_mistake.h"
#include "node/operator_api.h"

namespace covewing::node {

using OperatorCallback = std::function<void(OperatorResponse)>;

/// Whether a call that failed may have changed something.
enum class OperatorOutcome : std::uint8_t { kNotRun, kUnknown };

OperatorResponse okResponse(const nlohmann::json& body);
OperatorResponse errorResponse(base::ResultCode code, std::string detail,
                               OperatorOutcome outcome = OperatorOutcome::kNotRun);
OperatorResponse errorResponse(const base::Reason& reason);
/// Error response that lists each invalid field in `mistakes`, and the first one also in `field`.
OperatorResponse errorResponse(base::ResultCode code,
                               const std::vector<config::FieldMistake>& mistakes);
/// Response to a change that lost against a concurrent one; `current` describes the stored version
/// and its author.
OperatorResponse conflictResponse(std::string detail, nlohmann::json current);

}  // namespace covewing::node
