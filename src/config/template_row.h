/// \file
/// Rows of the table service that hold templates, their history and the index of their keys.
///
/// | key | value |
/// | --- | --- |
/// | `template/NAME` | the template in force (TemplateRow); a retired one stays as a tombstone |
/// | `template-history/NAME` | the last replaced versions (TemplateHistory) |
/// | `template-key/DIGEST` | name of the one template that has this bearer key |
/// | `template-use/BASE` | written with each tenant that relies on the base, so that a change of
/// the base can be held against all of them |
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "clients/table_client.h"

namespace covewing::config {

inline constexpr std::string_view kTemplatePrefix = "template/";
inline constexpr std::string_view kTemplateHistoryPrefix = "template-history/";
inline constexpr std::string_view kTemplateKeyPrefix = "template-key/";
inline constexpr std::string_view kTemplateUsePrefix = "template-use/";
/// Replaced versions that are kept of a template.
inline constexpr std::size_t kMaximumHistory = 16;

/// One version of a template.
struct TemplateRow {
  std::string name;
  /// The operators' document (config/template_document.h) as compact JSON text.
  std::string document;
  /// Drawn when the template is created, so that a name used again shares no cache with the former
  /// tenant of that name.
  std::uint64_t cacheSalt = 0;
  bool retired = false;
  /// The operator call that wrote the row; recognises a repeated call and a lost answer.
  std::string operationId;
  std::string author;
  /// Version as operators see it: the revision of the commit. Not part of the value.
  base::Revision revision = 0;
};

std::string templateRowKey(std::string_view name);
/// Value of the row as it is stored.
std::string encodeTemplateRow(const TemplateRow& row);
/// Empty with the reason when key or value is not of this form.
std::optional<TemplateRow> parseTemplateRow(const clients::TableRow& row, base::Reason& reason);

/// Replaced versions of one template, oldest first.
struct TemplateHistory {
  std::vector<TemplateRow> versions;
};

std::string encodeTemplateHistory(const TemplateHistory& history);
/// A malformed value gives an empty history.
TemplateHistory parseTemplateHistory(std::string_view name, std::string_view value);

}  // namespace covewing::config
