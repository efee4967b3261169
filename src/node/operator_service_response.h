/// \file
/// Bodies of answers to operator calls. Internal to the operator service.
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

/// Whether a refused call may have changed something.
enum class OperatorOutcome : std::uint8_t { kNotRun, kUnknown };

OperatorResponse okResponse(const nlohmann::json& body);
OperatorResponse errorResponse(base::ResultCode code, std::string detail,
                               OperatorOutcome outcome = OperatorOutcome::kNotRun);
OperatorResponse errorResponse(const base::Reason& reason);
/// A refusal that names each field in `mistakes`, the first one in `field` too.
OperatorResponse errorResponse(base::ResultCode code,
                               const std::vector<config::FieldMistake>& mistakes);
/// A lost race: what is in force, and who put it there.
OperatorResponse conflictResponse(std::string detail, nlohmann::json current);

}  // namespace covewing::node
