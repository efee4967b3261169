#include "config/tenant_body.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/json_fields.h"
#include "config/template_document.h"

namespace covewing::config {

namespace {

constexpr std::size_t kMaximumModels = 32;
constexpr std::size_t kMaximumAdapters = 64;
constexpr std::size_t kMaximumApplications = 32;
constexpr std::size_t kMaximumMethods = 8;
constexpr std::size_t kMaximumName = 128;
constexpr std::size_t kMaximumPath = 256;
constexpr double kMaximumRate = 1'000'000;
constexpr std::uint64_t kMaximumCount = 1'000'000;
constexpr std::uint64_t kMaximumOutputTokens = 1'000'000;
constexpr std::uint64_t kMaximumVersion = 1ULL << 53U;
constexpr std::uint64_t kMaximumAttempts = 10;
constexpr std::uint64_t kMaximumDeadlineMs = 3'600'000;
constexpr std::uint64_t kDefaultDeadlineMs = 10'000;
constexpr std::uint64_t kDefaultHoldMs = 2'000;
constexpr std::uint64_t kDefaultOutputTokens = 1'024;
constexpr std::uint64_t kDefaultAttempts = 3;

std::string indexed(std::string_view list, std::size_t index) {
  return "body." + std::string(list) + "[" + std::to_string(index) + "]";
}

ModelPermission readModel(const Json& json, const std::string& path,
                          std::vector<FieldMistake>& mistakes) {
  FieldReader reader(json, path, mistakes);
  ModelPermission permission;
  permission.model = reader.text("model", "", kMaximumName);
  if (permission.model.empty()) reader.mistake("model", "missing or empty");
  permission.adapters = reader.texts("adapters", kMaximumAdapters, kMaximumName);
  permission.version = reader.unsignedInteger("version", 0, 0, kMaximumVersion);
  reader.finish();
  return permission;
}

std::vector<ModelPermission> readModels(FieldReader& reader, std::vector<FieldMistake>& mistakes) {
  std::vector<ModelPermission> models;
  for (const Json* json : reader.elements("models", kMaximumModels)) {
    const std::string path = indexed("models", models.size());
    ModelPermission permission = readModel(*json, path, mistakes);
    const bool repeated = std::any_of(
        models.begin(), models.end(),
        [&](const ModelPermission& earlier) { return earlier.model == permission.model; });
    if (repeated && !permission.model.empty()) mistakes.push_back({path + ".model", "given twice"});
    models.push_back(std::move(permission));
  }
  return models;
}

TenantLimits readLimits(FieldReader& body, std::vector<FieldMistake>& mistakes) {
  TenantLimits limits;
  limits.maximumOutputTokens = kDefaultOutputTokens;
  const Json* json = body.find("limits");
  if (json == nullptr) return limits;
  FieldReader reader(*json, "body.limits", mistakes);
  limits.requestsPerSecond = reader.number("requests_per_second", 0, 0, kMaximumRate);
  limits.burst = static_cast<std::uint32_t>(reader.unsignedInteger("burst", 0, 0, kMaximumCount));
  limits.concurrency =
      static_cast<std::uint32_t>(reader.unsignedInteger("concurrency", 0, 0, kMaximumCount));
  limits.maximumOutputTokens = static_cast<std::uint32_t>(
      reader.unsignedInteger("max_output_tokens", kDefaultOutputTokens, 1, kMaximumOutputTokens));
  reader.finish();
  return limits;
}

RetryPolicy readRetry(FieldReader& body, std::vector<FieldMistake>& mistakes) {
  RetryPolicy retry;
  const Json* json = body.find("retry");
  if (json == nullptr) return retry;
  FieldReader reader(*json, "body.retry", mistakes);
  retry.maximumAttempts = static_cast<std::uint32_t>(
      reader.unsignedInteger("max_attempts", kDefaultAttempts, 1, kMaximumAttempts));
  retry.resumeStreams = reader.boolean("resume_streams", true);
  reader.finish();
  return retry;
}

ApplicationRoute readApplication(const Json& json, const std::string& path,
                                 std::vector<FieldMistake>& mistakes) {
  FieldReader reader(json, path, mistakes);
  ApplicationRoute route;
  route.path = reader.text("path", "", kMaximumPath);
  if (route.path.empty() || route.path.front() != '/') reader.mistake("path", "must start with /");
  route.application = reader.text("application", "", kMaximumName);
  if (route.application.empty()) reader.mistake("application", "missing or empty");
  route.notRepeatableMethods =
      reader.texts("not_repeatable_methods", kMaximumMethods, kMaximumName);
  reader.finish();
  return route;
}

std::vector<ApplicationRoute> readApplications(FieldReader& reader,
                                               std::vector<FieldMistake>& mistakes) {
  std::vector<ApplicationRoute> routes;
  for (const Json* json : reader.elements("applications", kMaximumApplications))
    routes.push_back(readApplication(*json, indexed("applications", routes.size()), mistakes));
  return routes;
}

base::PriorityClass readPriority(FieldReader& reader) {
  const auto fallback = static_cast<std::size_t>(base::PriorityClass::kStandard);
  return static_cast<base::PriorityClass>(
      reader.choice("priority", fallback, {"urgent", "interactive", "standard", "background"}));
}

base::Duration readMilliseconds(FieldReader& reader, std::string_view name, std::uint64_t fallback,
                                std::uint64_t minimum) {
  return std::chrono::milliseconds(
      reader.unsignedInteger(name, fallback, minimum, kMaximumDeadlineMs));
}

Json millisecondsOf(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

TenantTemplate readTenantBody(const Json& body, std::vector<FieldMistake>& mistakes) {
  FieldReader reader(body, "body", mistakes);
  TenantTemplate tenant;
  tenant.models = readModels(reader, mistakes);
  tenant.priority = readPriority(reader);
  tenant.limits = readLimits(reader, mistakes);
  tenant.deadline = readMilliseconds(reader, "deadline_ms", kDefaultDeadlineMs, 1);
  tenant.holdTime = readMilliseconds(reader, "hold_ms", kDefaultHoldMs, 0);
  tenant.retry = readRetry(reader, mistakes);
  tenant.whenStale = static_cast<StaleChoice>(reader.choice("when_stale", 0, {"serve", "refuse"}));
  tenant.whenCold =
      static_cast<ColdPrefixChoice>(reader.choice("when_cold", 0, {"recompute", "hold"}));
  tenant.whenCutOff =
      static_cast<CutOffChoice>(reader.choice("when_cut_off", 0, {"serve", "refuse"}));
  tenant.homeZone = reader.text("home_zone", "", kMaximumName);
  tenant.applications = readApplications(reader, mistakes);
  if (tenant.models.empty() && tenant.applications.empty() && mistakes.empty())
    reader.mistake("models", "the tenant may use neither a model nor an application");
  reader.finish();
  return tenant;
}

std::string toJson(const TenantTemplate& expanded) {
  Json models = Json::array();
  for (const ModelPermission& permission : expanded.models) {
    models.push_back({{"model", permission.model},
                      {"adapters", permission.adapters},
                      {"version", permission.version}});
  }
  Json applications = Json::array();
  for (const ApplicationRoute& route : expanded.applications) {
    applications.push_back({{"path", route.path},
                            {"application", route.application},
                            {"not_repeatable_methods", route.notRepeatableMethods}});
  }
  const Json limits = {{"requests_per_second", expanded.limits.requestsPerSecond},
                       {"burst", expanded.limits.burst},
                       {"concurrency", expanded.limits.concurrency},
                       {"max_output_tokens", expanded.limits.maximumOutputTokens}};
  const Json retry = {{"max_attempts", expanded.retry.maximumAttempts},
                      {"resume_streams", expanded.retry.resumeStreams}};
  const bool staleServe = expanded.whenStale == StaleChoice::kServe;
  const bool coldRecompute = expanded.whenCold == ColdPrefixChoice::kRecompute;
  const bool cutOffServe = expanded.whenCutOff == CutOffChoice::kServe;
  return toText(Json{{"name", expanded.name},
                     {"key_digests", expanded.keyDigests},
                     {"models", std::move(models)},
                     {"priority", std::string(base::toString(expanded.priority))},
                     {"limits", limits},
                     {"deadline_ms", millisecondsOf(expanded.deadline)},
                     {"hold_ms", millisecondsOf(expanded.holdTime)},
                     {"retry", retry},
                     {"when_stale", staleServe ? "serve" : "refuse"},
                     {"when_cold", coldRecompute ? "recompute" : "hold"},
                     {"when_cut_off", cutOffServe ? "serve" : "refuse"},
                     {"home_zone", expanded.homeZone},
                     {"applications", std::move(applications)},
                     {"retired", expanded.retired},
                     {"version", expanded.revision}});
}

}  // namespace covewing::config
