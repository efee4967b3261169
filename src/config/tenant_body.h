/// \file
/// The body of a tenant's template as JSON, after its placeholders are filled in: checks and typed
/// reading. Internal to this folder.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "config/field_mistake.h"
#include "config/tenant_template.h"

namespace covewing::config {

/// Reads the body; what it has no field for (name, keys, salt, revision) stays empty. Every mistake
/// is appended with its path under "body".
TenantTemplate readTenantBody(const nlohmann::json& body, std::vector<FieldMistake>& mistakes);

}  // namespace covewing::config
