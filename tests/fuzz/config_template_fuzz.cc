/// \file
/// Operators' documents and rows of the table service: any bytes give a value or mistakes.
#include <cstddef>
#include <cstdint>

#include "config/configuration_snapshot.h"
#include "config/template_document.h"
#include "config/template_row.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace config = covewing::config;
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<config::FieldMistake> mistakes;
  const auto document = config::parseTemplateDocument(text, mistakes);
  if (document.has_value() != mistakes.empty()) __builtin_trap();
  if (document && document->isBase) config::checkBaseDocument(*document, mistakes);
  if (document && !document->isBase) {
    const auto expanded = config::expandTemplate("tenant", *document, nullptr, mistakes);
    if (expanded) config::toJson(*expanded);
  }
  config::withDigestedKeys(text);
  covewing::base::Reason reason;
  if (const auto row = config::parseTemplateRow({"template/tenant", text, 1}, reason))
    config::encodeTemplateRow(*row);
  config::parseTemplateHistory("tenant", text);
  config::decodeSnapshot(text, reason);
  return 0;
}
