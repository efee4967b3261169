/// \file
/// Parameters of a template document: their declarations, the values given, and which value is in
/// force. Internal to this folder.
#pragma once

#include <vector>

#include "config/field_mistake.h"
#include "config/json_fields.h"
#include "config/template_document.h"

namespace covewing::config {

Json jsonOf(const ParameterValue& value);

/// The declarations under "parameters".
std::vector<ParameterDefinition> readParameters(FieldReader& reader,
                                                std::vector<FieldMistake>& mistakes);
/// The values under "values", in the types they have in the text.
std::vector<NamedValue> readValues(FieldReader& reader, std::vector<FieldMistake>& mistakes);
/// The value in force of each parameter, in the parameter's type; mistakes for unknown, missing and
/// refused ones.
std::vector<NamedValue> bindValues(const std::vector<ParameterDefinition>& parameters,
                                   const std::vector<NamedValue>& values,
                                   std::vector<FieldMistake>& mistakes);
/// A value that the definition allows, to check a base with.
ParameterValue sampleValue(const ParameterDefinition& definition);

}  // namespace covewing::config
