/// \file
/// Filling in the `${parameter}` placeholders of a body. Internal to this folder.
#pragma once

#include <vector>

#include "config/field_mistake.h"
#include "config/json_fields.h"
#include "config/template_document.h"

namespace covewing::config {

/// The body with its placeholders filled in. A text that is one placeholder takes the value's type;
/// inside a longer text the value is inserted as text. Mistakes name the path under "body".
Json fillPlaceholders(const Json& body, const std::vector<NamedValue>& values,
                      std::vector<FieldMistake>& mistakes);

}  // namespace covewing::config
