#include "config/template_row.h"

#include <charconv>

#include "config/json_fields.h"
#include "config/template_document.h"

namespace covewing::config {

namespace {

constexpr std::size_t kMaximumRowBytes = kMaximumDocumentBytes + 4096;
constexpr std::size_t kMaximumHistoryBytes = kMaximumHistory * kMaximumRowBytes;
constexpr std::size_t kMaximumRowDepth = kMaximumDocumentDepth + 3;
constexpr std::size_t kMaximumOperationId = 128;
constexpr std::size_t kMaximumAuthor = 128;
constexpr std::size_t kSaltDigits = 16;
constexpr int kHexadecimal = 16;
constexpr std::uint64_t kAnyInteger = ~0ULL;

std::string hexadecimal(std::uint64_t value) {
  std::string text(kSaltDigits, '0');
  char digits[kSaltDigits];
  const auto end = std::to_chars(digits, digits + kSaltDigits, value, kHexadecimal);
  const auto length = static_cast<std::size_t>(end.ptr - digits);
  text.replace(kSaltDigits - length, length, digits, length);
  return text;
}

Json jsonOf(const TemplateRow& row) {
  return {{"author", row.author},
          {"document", Json::parse(row.document, nullptr, false)},
          {"operation", row.operationId},
          {"retired", row.retired},
          {"salt", hexadecimal(row.cacheSalt)}};
}

TemplateRow readRow(const Json& json, std::string_view name, std::vector<FieldMistake>& mistakes) {
  FieldReader reader(json, "", mistakes);
  TemplateRow row;
  row.name = name;
  row.author = reader.text("author", "", kMaximumAuthor);
  row.operationId = reader.text("operation", "", kMaximumOperationId);
  row.retired = reader.boolean("retired", false);
  row.revision = reader.unsignedInteger("version", 0, 0, kAnyInteger);
  const std::string salt = reader.text("salt", "", kSaltDigits);
  const auto parsed =
      std::from_chars(salt.data(), salt.data() + salt.size(), row.cacheSalt, kHexadecimal);
  if (salt.empty() || parsed.ptr != salt.data() + salt.size())
    reader.mistake("salt", "must be hexadecimal");
  const Json* document = reader.find("document");
  if (document == nullptr || !document->is_object()) {
    reader.mistake("document", "must be an object");
  } else {
    row.document = toText(*document);
  }
  return row;
}

}  // namespace

std::string templateRowKey(std::string_view name) {
  return std::string(kTemplatePrefix) + std::string(name);
}

std::string encodeTemplateRow(const TemplateRow& row) { return toText(jsonOf(row)); }

std::optional<TemplateRow> parseTemplateRow(const clients::TableRow& row, base::Reason& reason) {
  const std::string_view key = row.key;
  if (!key.starts_with(kTemplatePrefix) || !isTemplateName(key.substr(kTemplatePrefix.size()))) {
    reason = {base::ResultCode::kMessageMalformed, row.key + ": not the key of a template"};
    return std::nullopt;
  }
  std::vector<FieldMistake> mistakes;
  const auto json = parseBoundedJson(row.value, {kMaximumRowBytes, kMaximumRowDepth}, mistakes);
  TemplateRow parsed;
  if (json) parsed = readRow(*json, key.substr(kTemplatePrefix.size()), mistakes);
  if (!mistakes.empty()) {
    reason = {base::ResultCode::kMessageMalformed, row.key + ": " + toText(mistakes)};
    return std::nullopt;
  }
  parsed.revision = row.revision;
  return parsed;
}

std::string encodeTemplateHistory(const TemplateHistory& history) {
  Json versions = Json::array();
  for (const TemplateRow& row : history.versions) {
    Json json = jsonOf(row);
    json["version"] = row.revision;
    versions.push_back(std::move(json));
  }
  return toText(Json{{"versions", std::move(versions)}});
}

TemplateHistory parseTemplateHistory(std::string_view name, std::string_view value) {
  TemplateHistory history;
  std::vector<FieldMistake> mistakes;
  const auto json = parseBoundedJson(value, {kMaximumHistoryBytes, kMaximumRowDepth + 2}, mistakes);
  if (!json) return history;
  FieldReader reader(*json, "", mistakes);
  for (const Json* version : reader.elements("versions", kMaximumHistory))
    history.versions.push_back(readRow(*version, name, mistakes));
  return mistakes.empty() ? history : TemplateHistory{};
}

}  // namespace covewing::config
