#include "config/template_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/bearer_key.h"
#include "config/json_fields.h"
#include "config/tenant_body.h"

namespace covewing::config {

namespace {

constexpr std::size_t kMaximumParameters = 64;
constexpr std::size_t kMaximumAllowedValues = 64;
constexpr std::size_t kMaximumKeys = 16;
constexpr std::size_t kMaximumDescription = 400;
constexpr std::size_t kMaximumParameterText = 1024;
constexpr double kLargestBound = 9'007'199'254'740'992.0;  // 2^53: exact in a double

bool isNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
         character == '.' || character == '_' || character == '-';
}

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

Json jsonOf(const ParameterValue& value) {
  return std::visit([](const auto& content) { return Json(content); }, value);
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

std::vector<std::string> readKeyDigests(FieldReader& reader) {
  std::vector<std::string> digests = reader.texts("key_digests", kMaximumKeys, kKeyDigestLength);
  for (std::size_t index = 0; index < digests.size(); ++index) {
    if (!isKeyDigest(digests[index]))
      reader.mistake("key_digests[" + std::to_string(index) + "]",
                     "must be a SHA-256 digest of 64 lower-case hexadecimal digits");
    if (std::find(digests.begin(), digests.begin() + static_cast<std::ptrdiff_t>(index),
                  digests[index]) != digests.begin() + static_cast<std::ptrdiff_t>(index))
      reader.mistake("key_digests[" + std::to_string(index) + "]", "given twice");
  }
  return digests;
}

void checkShape(const TemplateDocument& document, FieldReader& reader) {
  if (document.isBase) {
    if (!document.base.empty()) reader.mistake("base", "a base relies on no other base");
    if (!document.keyDigests.empty()) reader.mistake("key_digests", "a base has no keys");
    if (!document.values.empty()) reader.mistake("values", "a base has no values, only defaults");
  } else if (document.keyDigests.empty()) {
    reader.mistake("key_digests", "a tenant needs at least one");
  }
  if (document.base.empty()) {
    if (document.body == nullptr) reader.mistake("body", "missing");
    return;
  }
  if (!isTemplateName(document.base)) reader.mistake("base", "not a valid name");
  if (document.body != nullptr) reader.mistake("body", "the base has the body");
  if (!document.parameters.empty()) reader.mistake("parameters", "the base has the parameters");
}

/// The values in force, by parameter; mistakes for unknown, missing and refused ones.
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

/// Replaces the placeholders in a body.
class Substitution {
 public:
  Substitution(const std::vector<NamedValue>& values, std::vector<FieldMistake>& mistakes)
      : values_(values), mistakes_(mistakes) {}

  Json apply(const Json& json, const std::string& path) {
    if (json.is_string()) return applyText(json.get_ref<const std::string&>(), path);
    if (json.is_array()) {
      Json result = Json::array();
      for (const Json& element : json)
        result.push_back(apply(element, path + "[" + std::to_string(result.size()) + "]"));
      return result;
    }
    if (json.is_object()) {
      Json result = Json::object();
      for (const auto& field : json.items())
        result[field.key()] = apply(field.value(), path + "." + field.key());
      return result;
    }
    return json;
  }

 private:
  static constexpr std::string_view kOpen = "${";

  const ParameterValue* find(std::string_view name) const {
    const auto found = std::find_if(values_.begin(), values_.end(),
                                    [&](const NamedValue& value) { return value.name == name; });
    return found == values_.end() ? nullptr : &found->value;
  }

  /// A text that is one placeholder takes the parameter's type; else the value is inserted as text.
  Json applyText(const std::string& text, const std::string& path) {
    std::string result;
    std::size_t position = 0;
    while (position < text.size()) {
      const std::size_t open = text.find(kOpen, position);
      if (open == std::string::npos) break;
      const std::size_t close = text.find('}', open);
      if (close == std::string::npos) {
        mistakes_.push_back({path, "placeholder without a closing brace"});
        return text;
      }
      const std::string name = text.substr(open + kOpen.size(), close - open - kOpen.size());
      const ParameterValue* value = find(name);
      if (value == nullptr) {
        mistakes_.push_back({path, "no parameter is named \"" + name + "\""});
        return text;
      }
      if (open == 0 && close + 1 == text.size()) return jsonOf(*value);
      result.append(text, position, open - position);
      const auto* inserted = std::get_if<std::string>(value);
      result += inserted == nullptr ? toText(jsonOf(*value)) : *inserted;
      position = close + 1;
    }
    return result + text.substr(position);
  }

  const std::vector<NamedValue>& values_;
  std::vector<FieldMistake>& mistakes_;
};

/// A value that the definition allows, to check a base with.
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

}  // namespace

bool isTemplateName(std::string_view name) {
  return !name.empty() && name.size() <= kMaximumTemplateName &&
         std::all_of(name.begin(), name.end(), isNameCharacter) && name.front() != '.' &&
         name.front() != '_' && name.front() != '-';
}

std::optional<TemplateDocument> parseTemplateDocument(std::string_view text,
                                                      std::vector<FieldMistake>& mistakes) {
  const std::size_t before = mistakes.size();
  const std::optional<Json> json =
      parseBoundedJson(text, {kMaximumDocumentBytes, kMaximumDocumentDepth}, mistakes);
  if (!json) return std::nullopt;
  FieldReader reader(*json, "", mistakes);
  TemplateDocument document;
  document.isBase = reader.choice("kind", 0, {"tenant", "base"}) == 1;
  document.base = reader.text("base", "", kMaximumTemplateName);
  document.parameters = readParameters(reader, mistakes);
  document.values = readValues(reader, mistakes);
  document.keyDigests = readKeyDigests(reader);
  if (const Json* body = reader.find("body")) document.body = std::make_shared<const Json>(*body);
  checkShape(document, reader);
  reader.finish();
  if (mistakes.size() != before) return std::nullopt;
  return document;
}

std::optional<TenantTemplate> expandTemplate(std::string_view name,
                                             const TemplateDocument& document,
                                             const TemplateDocument* base,
                                             std::vector<FieldMistake>& mistakes) {
  const std::size_t before = mistakes.size();
  const TemplateDocument* source = document.base.empty() ? &document : base;
  if (document.isBase) mistakes.push_back({"kind", "a base is no tenant"});
  if (source == nullptr || (!document.base.empty() && !source->isBase)) {
    mistakes.push_back({"base", "there is no base named \"" + document.base + "\""});
    return std::nullopt;
  }
  const std::vector<NamedValue> values = bindValues(source->parameters, document.values, mistakes);
  if (mistakes.size() != before) return std::nullopt;
  const Json body = Substitution(values, mistakes).apply(*source->body, "body");
  if (mistakes.size() != before) return std::nullopt;
  TenantTemplate expanded = readTenantBody(body, mistakes);
  if (mistakes.size() != before) return std::nullopt;
  expanded.name = name;
  expanded.id = base::tenantIdOf(name);
  expanded.keyDigests = document.keyDigests;
  return expanded;
}

void checkBaseDocument(const TemplateDocument& base, std::vector<FieldMistake>& mistakes) {
  std::vector<NamedValue> values;
  for (const ParameterDefinition& definition : base.parameters)
    values.push_back({definition.name, sampleValue(definition)});
  const std::size_t before = mistakes.size();
  const Json body = Substitution(values, mistakes).apply(*base.body, "body");
  if (mistakes.size() == before) readTenantBody(body, mistakes);
}

std::optional<std::string> withDigestedKeys(std::string_view documentText) {
  std::vector<FieldMistake> mistakes;
  std::optional<Json> json =
      parseBoundedJson(documentText, {kMaximumDocumentBytes, kMaximumDocumentDepth}, mistakes);
  if (!json || !json->is_object()) return std::nullopt;
  const auto keys = json->find("keys");
  if (keys == json->end() || !keys->is_array()) return toText(*json);
  Json digests = json->value("key_digests", Json::array());
  for (const Json& key : *keys) {
    if (key.is_string()) digests.push_back(digestBearerKey(key.get_ref<const std::string&>()));
  }
  json->erase("keys");
  (*json)["key_digests"] = std::move(digests);
  return toText(*json);
}

}  // namespace covewing::config
