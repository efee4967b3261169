#include "tools/covewingctl_requests.h"

#include <filesystem>
#include <nlohmann/json.hpp>

#include "config/template_document.h"

namespace covewing::tools {

namespace {

using Json = nlohmann::json;

/// Percent-encodes all characters except the unreserved ones of URIs.
std::string encode(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string result;
  for (const char character : text) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      result.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    result.push_back('%');
    result.push_back(kDigits[byte >> kNibble]);
    result.push_back(kDigits[byte & kNibbleMask]);
  }
  return result;
}

std::string changeQuery(const CommandLine& line) {
  return "operation=" + encode(line.operationId) + "&author=" + encode(line.operatorName);
}

std::string templateTarget(const CommandLine& line) {
  return "/v1/templates/" + encode(templateName(line));
}

std::optional<ApiCall> templateWrite(const CommandLine& line, const std::string& document,
                                     std::string& errorText) {
  const auto digested = config::withDigestedKeys(document);
  if (!digested) {
    errorText = fileArgument(line) + ": not a JSON object";
    return std::nullopt;
  }
  if (line.verb->id == VerbId::kTemplateExpand) {
    return ApiCall{"POST", "/v1/expand?name=" + encode(templateName(line)), *digested, false};
  }
  std::string target = templateTarget(line) + "?" + changeQuery(line);
  if (line.ifVersion) target += "&version=" + std::to_string(*line.ifVersion);
  return ApiCall{"PUT", target, *digested, true};
}

ApiCall templateRetire(const CommandLine& line) {
  std::string target = templateTarget(line) + "?" + changeQuery(line);
  if (line.ifVersion) target += "&version=" + std::to_string(*line.ifVersion);
  return {"DELETE", target, "", true};
}

void addEngineChoice(const CommandLine& line, Json& body) {
  if (!line.engines.empty()) body["engines"] = line.engines;
  if (!line.zone.empty()) body["zone"] = line.zone;
  if (line.count) body["count"] = *line.count;
}

std::optional<ApiCall> weightsOrder(const CommandLine& line, std::string_view kind,
                                    std::string& errorText) {
  const auto version = parseNumber(line.arguments[1]);
  if (!version) {
    errorText = "VERSION: must be a whole number";
    return std::nullopt;
  }
  Json body = {{"kind", kind}, {"model", line.arguments[0]}, {"version", *version}};
  addEngineChoice(line, body);
  if (!line.adapters.empty()) body["adapters"] = line.adapters;
  if (line.parallel) body["parallel"] = *line.parallel;
  if (line.minimumServing) body["minimum_serving"] = *line.minimumServing;
  if (line.keepOld) body["keep_old"] = true;
  return ApiCall{"POST", "/v1/orders?" + changeQuery(line), body.dump(), true};
}

ApiCall roleOrder(const CommandLine& line) {
  Json body = {{"kind", "role"}, {"role", line.arguments[0]}};
  addEngineChoice(line, body);
  if (line.minimumServing) body["minimum_serving"] = *line.minimumServing;
  return {"POST", "/v1/orders?" + changeQuery(line), body.dump(), true};
}

ApiCall get(std::string target) { return {"GET", std::move(target), "", false}; }

}  // namespace

std::string fileArgument(const CommandLine& line) {
  switch (line.verb->id) {
    case VerbId::kTemplateCreate:
    case VerbId::kTemplateChange:
    case VerbId::kTemplateExpand:
    case VerbId::kCheckSettings:
      return line.arguments.back();
    default:
      return "";
  }
}

std::string templateName(const CommandLine& line) {
  const std::string file = fileArgument(line);
  if (!file.empty() && line.arguments.size() == 1) return std::filesystem::path(file).stem();
  return line.arguments.front();
}

bool isMutation(VerbId verb) {
  switch (verb) {
    case VerbId::kTemplateCreate:
    case VerbId::kTemplateChange:
    case VerbId::kTemplateRetire:
    case VerbId::kOrderLoad:
    case VerbId::kOrderSwap:
    case VerbId::kOrderRole:
    case VerbId::kOrderCancel:
      return true;
    default:
      return false;
  }
}

std::optional<ApiCall> makeCall(const CommandLine& line, const std::string& document,
                                std::string& errorText) {
  switch (line.verb->id) {
    case VerbId::kTemplateCreate:
    case VerbId::kTemplateChange:
    case VerbId::kTemplateExpand:
      return templateWrite(line, document, errorText);
    case VerbId::kTemplateRetire:
      return templateRetire(line);
    case VerbId::kTemplateGet:
      return get(templateTarget(line));
    case VerbId::kTemplateList:
      return get(line.retired ? "/v1/templates?retired=true" : "/v1/templates");
    case VerbId::kTemplateHistory:
      return get(templateTarget(line) + "/history");
    case VerbId::kOrderLoad:
      return weightsOrder(line, "load", errorText);
    case VerbId::kOrderSwap:
      return weightsOrder(line, "swap", errorText);
    case VerbId::kOrderRole:
      return roleOrder(line);
    case VerbId::kOrderList:
      return get("/v1/orders");
    case VerbId::kOrderShow:
      return get("/v1/orders/" + encode(line.arguments.front()));
    case VerbId::kOrderCancel:
      return ApiCall{"DELETE",
                     "/v1/orders/" + encode(line.arguments.front()) + "?" + changeQuery(line), "",
                     true};
    case VerbId::kFleet:
      return get("/v1/fleet");
    case VerbId::kNode:
      return get("/v1/node");
    case VerbId::kExplain:
      return get("/v1/requests/" + encode(line.arguments.front()));
    case VerbId::kCheckSettings:
      break;
  }
  errorText = "this verb makes no call";
  return std::nullopt;
}

}  // namespace covewing::tools
