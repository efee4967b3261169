/// \file
/// Documents and rows for tests of the configuration.
#pragma once

#include <string>

#include "config/bearer_key.h"
#include "config/template_editor.h"
#include "config/template_row.h"

namespace covewing::config {

/// A base that declares the parameters "model" and "rate".
inline std::string baseDocument(int holdMs = 1500) {
  return R"({"kind": "base", "parameters": {"model": {"type": "text"},
             "rate": {"type": "number", "default": 2.5, "minimum": 0.5, "maximum": 50}},
             "body": {"models": [{"model": "${model}"}], "priority": "interactive",
             "limits": {"requests_per_second": "${rate}", "burst": 4, "concurrency": 8},
             "hold_ms": )" +
         std::to_string(holdMs) + "}}";
}

/// A tenant with the bearer key "key-NAME" that relies on the base "common".
inline std::string tenantDocument(const std::string& name, double rate = 3,
                                  const std::string& base = "common") {
  return R"({"base": ")" + base + R"(", "key_digests": [")" + digestBearerKey("key-" + name) +
         R"("], "values": {"model": "prices", "rate": )" + std::to_string(rate) + "}}";
}

/// A tenant with a body of its own.
inline std::string wholeDocument(const std::string& name, int holdMs = 1000) {
  return R"({"key_digests": [")" + digestBearerKey("key-" + name) +
         R"("], "body": {"models": [{"model": "rules"}], "hold_ms": )" + std::to_string(holdMs) +
         "}}";
}

inline clients::TableRow rowOf(const std::string& name, const std::string& document,
                               base::Revision revision, bool retired = false) {
  TemplateRow row;
  row.name = name;
  row.document = document;
  row.cacheSalt = 7;
  row.retired = retired;
  row.operationId = "set-up";
  row.author = "operator";
  return {templateRowKey(name), encodeTemplateRow(row), revision};
}

inline TemplateEdit editOf(EditKind kind, const std::string& name, const std::string& document,
                           base::Revision expectedVersion, const std::string& operationId) {
  TemplateEdit edit;
  edit.kind = kind;
  edit.name = name;
  edit.document = document;
  edit.expectedVersion = expectedVersion;
  edit.operationId = operationId;
  edit.author = "operator-" + operationId;
  return edit;
}

}  // namespace covewing::config
