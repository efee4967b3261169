#include "node/operator_service_templates.h"

#include <utility>

#include "config/template_document.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumOperationId = 64;
constexpr std::size_t kMaximumAuthor = 64;

Json documentOf(const config::TemplateRow& row) {
  Json document = Json::parse(row.document, nullptr, false);
  return document.is_discarded() ? Json(row.document) : document;
}

/// Fields of a template in a list of templates.
Json summaryOf(const config::TemplateRow& row) {
  const Json document = documentOf(row);
  const bool isObject = document.is_object();
  return {{"name", row.name},
          {"version", row.revision},
          {"kind", isObject ? document.value("kind", "tenant") : "tenant"},
          {"base", isObject ? document.value("base", "") : ""},
          {"state", row.retired ? "retired" : "active"},
          {"author", row.author}};
}

Json versionOf(const config::TemplateRow& row) {
  Json version = summaryOf(row);
  version["operation"] = row.operationId;
  version["document"] = documentOf(row);
  return version;
}

OperatorResponse responseOf(const config::TemplateEdit& edit, const config::EditResult& result) {
  switch (result.status) {
    case config::EditStatus::kAccepted:
      return okResponse({{"name", edit.name},
                         {"version", result.version},
                         {"operation", edit.operationId},
                         {"author", edit.author}});
    case config::EditStatus::kConflict:
      return conflictResponse(
          result.reason.detail,
          {{"name", edit.name}, {"version", result.version}, {"holder", result.holder}});
    case config::EditStatus::kInvalid:
      return errorResponse(base::ResultCode::kTemplateInvalid, result.mistakes);
    case config::EditStatus::kNotFound:
      return errorResponse(base::ResultCode::kTemplateNotFound,
                           "no template is named " + edit.name);
    case config::EditStatus::kUnavailable:
      return errorResponse(base::ResultCode::kPlatformUnavailable, result.reason.detail);
    case config::EditStatus::kUnknown:
      break;
  }
  return errorResponse(base::ResultCode::kPlatformOutcomeUnknown, result.reason.detail,
                       OperatorOutcome::kUnknown);
}

/// Reads the author and the operation identifier into `edit` and checks the template name. Returns
/// false if there are errors, which are appended to `mistakes`.
bool readOperation(const OperatorTarget& target, config::TemplateEdit& edit,
                   std::vector<config::FieldMistake>& mistakes) {
  edit.operationId = target.text("operation");
  edit.author = target.text("author");
  if (edit.operationId.empty() || edit.operationId.size() > kMaximumOperationId) {
    mistakes.push_back({"operation", "must be given, in at most 64 characters"});
  }
  if (edit.author.size() > kMaximumAuthor) {
    mistakes.push_back({"author", "must have at most 64 characters"});
  }
  if (!config::isTemplateName(edit.name)) {
    mistakes.push_back(
        {"name", "must be lower-case letters, digits, '.', '_' and '-', at most 64"});
  }
  return mistakes.empty();
}

}  // namespace

void TemplateCalls::call(const OperatorTarget& target, const OperatorRequest& request,
                         OperatorCallback callback) {
  const auto& segments = target.segments();
  if (segments.size() == 1) {
    if (request.method != "GET") {
      callback(
          errorResponse(base::ResultCode::kMethodNotAllowed, "the list of templates takes GET"));
      return;
    }
    callback(list(target));
    return;
  }
  if (segments.size() == 3 && segments[2] == "history" && request.method == "GET") {
    history(segments[1], std::move(callback));
    return;
  }
  if (segments.size() == 2) {
    callOne(segments[1], target, request, std::move(callback));
    return;
  }
  callback(errorResponse(base::ResultCode::kUnknownPath, "no such resource under /v1/templates"));
}

void TemplateCalls::callOne(const std::string& name, const OperatorTarget& target,
                            const OperatorRequest& request, OperatorCallback callback) {
  if (request.method == "GET") {
    callback(get(name));
  } else if (request.method == "PUT" || request.method == "POST") {
    change(name, target, request, std::move(callback));
  } else if (request.method == "DELETE") {
    retire(name, target, std::move(callback));
  } else {
    callback(errorResponse(base::ResultCode::kMethodNotAllowed,
                           "a template takes GET, PUT, POST and DELETE"));
  }
}

OperatorResponse TemplateCalls::list(const OperatorTarget& target) const {
  const bool withRetired = target.text("retired") == "true";
  Json templates = Json::array();
  for (const std::string& name : store_.names()) {
    const auto stored = store_.findRow(name);
    base::Reason reason;
    const auto row = stored ? config::parseTemplateRow(*stored, reason) : std::nullopt;
    if (row && (withRetired || !row->retired)) templates.push_back(summaryOf(*row));
  }
  const config::Freshness freshness = store_.freshness();
  return okResponse({{"revision", freshness.revision},
                     {"confirmed", freshness.confirmed},
                     {"templates", std::move(templates)}});
}

OperatorResponse TemplateCalls::get(const std::string& name) const {
  const auto stored = store_.findRow(name);
  base::Reason reason;
  const auto row = stored ? config::parseTemplateRow(*stored, reason) : std::nullopt;
  if (!row) {
    return errorResponse(base::ResultCode::kTemplateNotFound, "no template is named " + name);
  }
  Json body = versionOf(*row);
  body["confirmed"] = store_.freshness().confirmed;
  if (const auto expanded = store_.findByName(name)) {
    body["expansion"] = Json::parse(config::toJson(*expanded), nullptr, false);
  }
  return okResponse(body);
}

void TemplateCalls::submit(const config::TemplateEdit& edit, OperatorCallback callback) {
  editor_.submit(edit, [edit, callback = std::move(callback)](const config::EditResult& result) {
    callback(responseOf(edit, result));
  });
}

void TemplateCalls::change(const std::string& name, const OperatorTarget& target,
                           const OperatorRequest& request, OperatorCallback callback) {
  base::Reason reason;
  const auto version = target.number("version", reason);
  if (reason.code != base::ResultCode::kOk) {
    callback(errorResponse(reason));
    return;
  }
  config::TemplateEdit edit;
  edit.kind = version ? config::EditKind::kChange : config::EditKind::kCreate;
  edit.name = name;
  edit.document = request.body;
  edit.expectedVersion = version.value_or(0);
  std::vector<config::FieldMistake> mistakes;
  if (!readOperation(target, edit, mistakes)) {
    callback(errorResponse(base::ResultCode::kInvalidField, mistakes));
    return;
  }
  submit(edit, std::move(callback));
}

void TemplateCalls::retire(const std::string& name, const OperatorTarget& target,
                           OperatorCallback callback) {
  base::Reason reason;
  const auto version = target.number("version", reason);
  config::TemplateEdit edit;
  edit.kind = config::EditKind::kRetire;
  edit.name = name;
  edit.expectedVersion = version.value_or(0);
  std::vector<config::FieldMistake> mistakes;
  if (!version) mistakes.push_back({"version", "must be given as a whole number"});
  if (!readOperation(target, edit, mistakes)) {
    callback(errorResponse(base::ResultCode::kInvalidField, mistakes));
    return;
  }
  submit(edit, std::move(callback));
}

void TemplateCalls::history(const std::string& name, OperatorCallback callback) {
  editor_.history(name, [name,
                         callback = std::move(callback)](const config::HistoryResult& result) {
    if (!result.versions) {
      callback(errorResponse(result.reason));
      return;
    }
    if (result.versions->empty()) {
      callback(errorResponse(base::ResultCode::kTemplateNotFound, "no template is named " + name));
      return;
    }
    Json versions = Json::array();
    for (const config::TemplateRow& row : *result.versions) versions.push_back(versionOf(row));
    callback(okResponse({{"name", name}, {"versions", std::move(versions)}}));
  });
}

OperatorResponse TemplateCalls::expand(const OperatorTarget& target,
                                       const std::string& document) const {
  std::vector<config::FieldMistake> mistakes;
  const auto parsed = config::parseTemplateDocument(document, mistakes);
  if (!parsed) return errorResponse(base::ResultCode::kTemplateInvalid, mistakes);
  if (parsed->isBase) {
    config::checkBaseDocument(*parsed, mistakes);
    if (!mistakes.empty()) return errorResponse(base::ResultCode::kTemplateInvalid, mistakes);
    return okResponse({{"kind", "base"}, {"valid", true}});
  }
  std::optional<config::TemplateDocument> base;
  if (const auto stored = store_.findRow(parsed->base)) {
    base::Reason reason;
    const auto row = config::parseTemplateRow(*stored, reason);
    std::vector<config::FieldMistake> ignored;
    if (row) base = config::parseTemplateDocument(row->document, ignored);
  }
  const auto expanded =
      config::expandTemplate(target.text("name"), *parsed, base ? &*base : nullptr, mistakes);
  if (!expanded) return errorResponse(base::ResultCode::kTemplateInvalid, mistakes);
  return okResponse({{"kind", "tenant"},
                     {"valid", true},
                     {"expansion", Json::parse(config::toJson(*expanded), nullptr, false)}});
}

}  // namespace covewing::node
