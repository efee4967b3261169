/// \file
/// The operators' form of a tenant template: named parameters, values for them, and a tenant body
/// with `${parameter}` placeholders. docs/operators/templates.md describes every field.
///
/// Thousands of tenants that differ in a few values share one document of kind "base": it declares
/// the parameters and holds the body, and each tenant's document names it and gives its values.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/field_mistake.h"
#include "config/tenant_template.h"

namespace covewing::config {

/// Bounds of a document's text.
inline constexpr std::size_t kMaximumDocumentBytes = 32UL << 10U;
inline constexpr std::size_t kMaximumDocumentDepth = 12;
/// Longest name of a template.
inline constexpr std::size_t kMaximumTemplateName = 64;

/// Lower-case letters, digits, '.', '_' and '-', starting with a letter or digit.
bool isTemplateName(std::string_view name);

enum class ParameterType : std::uint8_t { kText, kInteger, kNumber, kBoolean };

using ParameterValue = std::variant<std::string, std::int64_t, double, bool>;

/// Declaration of one named parameter.
struct ParameterDefinition {
  std::string name;
  ParameterType type = ParameterType::kText;
  std::string description;
  /// Without a default, each tenant must give a value.
  std::optional<ParameterValue> defaultValue;
  /// Bounds of a number; of a text's length in bytes.
  std::optional<double> minimum;
  std::optional<double> maximum;
  /// Where not empty, the value must be one of these.
  std::vector<ParameterValue> allowed;
};

struct NamedValue {
  std::string name;
  ParameterValue value;
};

/// A document that passed the checks which need no other document.
struct TemplateDocument {
  /// A base is no tenant: it has neither keys nor values.
  bool isBase = false;
  /// Name of the base document that a tenant's document relies on; empty: it has its own body.
  std::string base;
  std::vector<ParameterDefinition> parameters;
  std::vector<NamedValue> values;
  /// Digests of the tenant's bearer keys (config/bearer_key.h).
  std::vector<std::string> keyDigests;
  /// The tenant body with its placeholders; null when `base` is named.
  std::shared_ptr<const nlohmann::json> body;
};

/// Parses and checks a document. Empty with every mistake appended when it has any.
std::optional<TemplateDocument> parseTemplateDocument(std::string_view text,
                                                      std::vector<FieldMistake>& mistakes);

/// Expands a tenant's document. `base` is the document that it names, null when it names none or
/// when there is no such document (a mistake). The caller fills in cache salt, revision and
/// `retired`.
std::optional<TenantTemplate> expandTemplate(std::string_view name,
                                             const TemplateDocument& document,
                                             const TemplateDocument* base,
                                             std::vector<FieldMistake>& mistakes);

/// Checks a base document by itself: its body is expanded with the defaults, and where a parameter
/// has none, with a value that its definition allows.
void checkBaseDocument(const TemplateDocument& base, std::vector<FieldMistake>& mistakes);

/// The expanded template as JSON text, for operators; durations in milliseconds.
std::string toJson(const TenantTemplate& expanded);

/// The document with each plain key of its `keys` list replaced by a digest in `key_digests`; for
/// the operators' command line. Empty when the text is no JSON object.
std::optional<std::string> withDigestedKeys(std::string_view documentText);

}  // namespace covewing::config
