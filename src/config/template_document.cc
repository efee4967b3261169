#include "config/template_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/bearer_key.h"
#include "config/json_fields.h"
#include "config/placeholders.h"
#include "config/template_parameters.h"
#include "config/tenant_body.h"

namespace covewing::config {

namespace {

constexpr std::size_t kMaximumKeys = 16;

bool isNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
         character == '.' || character == '_' || character == '-';
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
  const Json body = fillPlaceholders(*source->body, values, mistakes);
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
  const Json body = fillPlaceholders(*base.body, values, mistakes);
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
