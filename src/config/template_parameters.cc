#include "config/template_parameters.h"

#include <algorithm>

namespace covewing::config {

namespace {

constexpr std::size_t kMaximumParameters = 64;
constexpr std::size_t kMaximumAllowedValues = 64;
constexpr std::size_t kMaximumDescription = 400;
constexpr std::size_t kMaximumParameterText = 1024;
constexpr double kLargestBound = 9'007'199'254'740'992.0;  // 2^53: exact in a double

std::string_view typeName(ParameterType type) {
  switch (type) {
    case ParameterType::kText:
      return "text";
    case ParameterType::kInteger:
      return "whole number";
    case ParameterType::kNumber:
      return "number";
    default:
      return "true or false";
  }
}

/// The JSON value as a value of this type; empty when it is of another.
std::optional<ParameterValue> valueOf(const Json& json, ParameterType type) {
  switch (type) {
    case ParameterType::kText:
      if (json.is_string()) return json.get<std::string>();
      return std::nullopt;
    case ParameterType::kInteger:
      if (json.is_number_integer() && (!json.is_number_unsigned() || json.get<std::int64_t>() >= 0))
        return json.get<std::int64_t>();
      return std::nullopt;
    case ParameterType::kNumber:
      if (json.is_number()) return json.get<double>();
      return std::nullopt;
    default:
      if (json.is_boolean()) return json.get<bool>();
      return std::nullopt;
  }
}

/// The value in whatever type the JSON has; empty for lists, objects and null.
std::optional<ParameterValue> untypedValueOf(const Json& json) {
  if (json.is_string()) return valueOf(json, ParameterType::kText);
  if (json.is_boolean()) return valueOf(json, ParameterType::kBoolean);
  if (json.is_number_integer()) return valueOf(json, ParameterType::kInteger);
  return valueOf(json, ParameterType::kNumber);
}

/// Size of the value as `minimum` and `maximum` see it; empty for a boolean.
std::optional<double> magnitude(const ParameterValue& value) {
  if (const auto* text = std::get_if<std::string>(&value)) return static_cast<double>(text->size());
  if (const auto* whole = std::get_if<std::int64_t>(&value)) return static_cast<double>(*whole);
  if (const auto* number = std::get_if<double>(&value)) return *number;
  return std::nullopt;
}

/// What is wrong with the value under its definition; empty when nothing is.
std::string problemOf(const ParameterDefinition& definition, const ParameterValue& value) {
  const std::string noun = definition.type == ParameterType::kText ? "length " : "value ";
  const std::optional<double> size = magnitude(value);
  if (size && definition.minimum && *size < *definition.minimum)
    return noun + "below the minimum " + toText(Json(*definition.minimum));
  if (size && definition.maximum && *size > *definition.maximum)
    return noun + "above the maximum " + toText(Json(*definition.maximum));
  const auto& allowed = definition.allowed;
  if (allowed.empty() || std::find(allowed.begin(), allowed.end(), value) != allowed.end())
    return "";
  std::string list;
  for (const ParameterValue& choice : allowed) {
    if (!list.empty()) list += ", ";
    list += toText(jsonOf(choice));
  }
  return "must be one of " + list;
}

std::optional<double> readBound(FieldReader& reader, std::string_view name) {
  if (reader.find(name) == nullptr) return std::nullopt;
  return reader.number(name, 0, -kLargestBound, kLargestBound);
}

std::vector<ParameterValue> readAllowed(FieldReader& reader, ParameterType type) {
  std::vector<ParameterValue> allowed;
  for (const Json* element : reader.elements("allowed", kMaximumAllowedValues)) {
    const std::optional<ParameterValue> value = valueOf(*element, type);
    if (!value) {
      reader.mistake("allowed[" + std::to_string(allowed.size()) + "]",
                     "must be a " + std::string(typeName(type)));
      return {};
    }
    allowed.push_back(*value);
  }
  return allowed;
}

ParameterDefinition readParameter(const std::string& name, const Json& json,
                                  std::vector<FieldMistake>& mistakes) {
  FieldReader reader(json, "parameters." + name, mistakes);
  ParameterDefinition definition;
  definition.name = name;
  if (json.is_object() && !json.contains("type")) reader.mistake("type", "missing");
  definition.type = static_cast<ParameterType>(
      reader.choice("type", 0, {"text", "integer", "number", "boolean"}));
  definition.description = reader.text("description", "", kMaximumDescription);
  definition.minimum = readBound(reader, "minimum");
  definition.maximum = readBound(reader, "maximum");
  if (definition.minimum && definition.maximum && *definition.minimum > *definition.maximum)
    reader.mistake("minimum", "above the maximum");
  definition.allowed = readAllowed(reader, definition.type);
  if (const Json* value = reader.find("default")) {
    definition.defaultValue = valueOf(*value, definition.type);
    const std::string problem = definition.defaultValue
                                    ? problemOf(definition, *definition.defaultValue)
                                    : "must be a " + std::string(typeName(definition.type));
    if (!problem.empty()) reader.mistake("default", problem);
  }
  reader.finish();
  return definition;
}

}  // namespace

Json jsonOf(const ParameterValue& value) {
  return std::visit([](const auto& content) { return Json(content); }, value);
}

std::vector<ParameterDefinition> readParameters(FieldReader& reader,
                                                std::vector<FieldMistake>& mistakes) {
  std::vector<ParameterDefinition> parameters;
  const Json* json = reader.find("parameters");
  if (json == nullptr) return parameters;
  if (!json->is_object() || json->size() > kMaximumParameters) {
    reader.mistake("parameters", "must be an object of at most " +
                                     std::to_string(kMaximumParameters) + " parameters");
    return parameters;
  }
  for (const auto& field : json->items()) {
    if (!isTemplateName(field.key()))
      mistakes.push_back({"parameters." + field.key(), "not a valid name"});
    parameters.push_back(readParameter(field.key(), field.value(), mistakes));
  }
  return parameters;
}

std::vector<NamedValue> readValues(FieldReader& reader, std::vector<FieldMistake>& mistakes) {
  std::vector<NamedValue> values;
  const Json* json = reader.find("values");
  if (json == nullptr) return values;
  if (!json->is_object() || json->size() > kMaximumParameters) {
    reader.mistake(
        "values", "must be an object of at most " + std::to_string(kMaximumParameters) + " values");
    return values;
  }
  for (const auto& field : json->items()) {
    std::optional<ParameterValue> value = untypedValueOf(field.value());
    if (value) {
      values.push_back({field.key(), std::move(*value)});
    } else {
      mistakes.push_back({"values." + field.key(), "must be a text, a number, true or false"});
    }
  }
  return values;
}

std::vector<NamedValue> bindValues(const std::vector<ParameterDefinition>& parameters,
                                   const std::vector<NamedValue>& values,
                                   std::vector<FieldMistake>& mistakes) {
  std::vector<NamedValue> bound;
  for (const ParameterDefinition& definition : parameters) {
    const auto given = std::find_if(values.begin(), values.end(), [&](const NamedValue& value) {
      return value.name == definition.name;
    });
    const std::string path = "values." + definition.name;
    if (given == values.end()) {
      if (definition.defaultValue) {
        bound.push_back({definition.name, *definition.defaultValue});
      } else {
        mistakes.push_back({path, "missing, and the parameter has no default"});
      }
      continue;
    }
    const std::optional<ParameterValue> typed = valueOf(jsonOf(given->value), definition.type);
    if (!typed) {
      mistakes.push_back({path, "must be a " + std::string(typeName(definition.type))});
      continue;
    }
    const std::string problem = problemOf(definition, *typed);
    if (!problem.empty()) mistakes.push_back({path, problem});
    bound.push_back({definition.name, *typed});
  }
  for (const NamedValue& value : values) {
    const bool known =
        std::any_of(parameters.begin(), parameters.end(),
                    [&](const ParameterDefinition& one) { return one.name == value.name; });
    if (!known) mistakes.push_back({"values." + value.name, "no such parameter"});
  }
  return bound;
}

ParameterValue sampleValue(const ParameterDefinition& definition) {
  if (definition.defaultValue) return *definition.defaultValue;
  if (!definition.allowed.empty()) return definition.allowed.front();
  const double smallest = definition.minimum.value_or(definition.maximum.value_or(1));
  switch (definition.type) {
    case ParameterType::kText:
      return std::string(static_cast<std::size_t>(
                             std::clamp(smallest, 1.0, static_cast<double>(kMaximumParameterText))),
                         'x');
    case ParameterType::kInteger:
      return static_cast<std::int64_t>(smallest);
    case ParameterType::kNumber:
      return smallest;
    default:
      return false;
  }
}

}  // namespace covewing::config
