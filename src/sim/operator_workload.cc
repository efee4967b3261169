#include "sim/operator_workload.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "config/bearer_key.h"

namespace covewing::sim {

namespace {
using Json = nlohmann::json;

/// An operator that hears nothing repeats its call this often.
constexpr std::uint32_t kMaximumRepetitions = 12;
constexpr base::Duration kRepetitionPause = std::chrono::seconds(2);
constexpr base::Duration kPassingLife = std::chrono::seconds(12);
/// Tenants whose templates refuse while the configuration may be stale, so that their retirement
/// holds everywhere.
constexpr std::string_view kPassingPrefix = "passing-";

base::Revision versionIn(const std::string& body) {
  const auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return 0;
  const auto* object = &json;
  if (json.contains("current")) object = &json.at("current");
  return object->value("version", base::Revision{0});
}

OperatorCallStatus statusOf(const node::OperatorResponse& response) {
  switch (response.code) {
    case base::ResultCode::kOk:
      return OperatorCallStatus::kAccepted;
    case base::ResultCode::kVersionConflict:
      return OperatorCallStatus::kConflict;
    case base::ResultCode::kPlatformOutcomeUnknown:
      return OperatorCallStatus::kUnknown;
    default:
      return OperatorCallStatus::kNotDone;
  }
}
}  // namespace

std::string tenantDocument(const WorkloadTenant& tenant, std::uint32_t mark, bool refuseWhenStale) {
  Json body = {{"models", {{{"model", tenant.model}, {"adapters", tenant.adapters}}}},
               {"deadline_ms", 20'000},
               {"hold_ms", 5'000},
               {"limits", {{"max_output_tokens", mark}}},
               {"when_stale", refuseWhenStale ? "refuse" : "serve"},
               {"applications",
                {{{"path", "/standings"},
                  {"application", "standings"},
                  {"not_repeatable_methods", {"POST"}}}}}};
  const Json document = {{"kind", "tenant"},
                         {"key_digests", {config::digestBearerKey(tenant.bearerKey)}},
                         {"body", body}};
  return document.dump();
}

OperatorWorkload::OperatorWorkload(Fleet& fleet, HistoryRecorder& recorder, Workload& callers,
                                   OperatorWorkloadOptions options,
                                   std::vector<WorkloadTenant> tenants, std::uint64_t seed)
    : fleet_(fleet),
      recorder_(recorder),
      callers_(callers),
      options_(options),
      tenants_(std::move(tenants)),
      random_(seed) {}

base::Duration OperatorWorkload::uniform(base::Duration bound) {
  return base::Duration(static_cast<base::Duration::rep>(
      random_.below(static_cast<std::uint64_t>(bound.count()) + 1)));
}

std::size_t OperatorWorkload::chooseNode() {
  return static_cast<std::size_t>(random_.below(fleet_.nodeCount()));
}

void OperatorWorkload::start() {
  endsAt_ = fleet_.scheduler().now() + options_.length;
  for (std::size_t who = 0; who < options_.operators; ++who) scheduleChange(who);
  for (std::size_t number = 0; number < options_.passingTenants; ++number) schedulePass(number);
}

void OperatorWorkload::scheduleChange(std::size_t who) {
  fleet_.scheduler().after(uniform(options_.pause * 2), [this, who] {
    if (over()) return;
    change(tenants_[random_.below(tenants_.size())], OperatorCallKind::kChange);
    scheduleChange(who);
  });
}

void OperatorWorkload::race() {
  const auto& tenant = tenants_[random_.below(tenants_.size())];
  constexpr int kRacers = 4;
  for (int racer = 0; racer < kRacers; ++racer) change(tenant, OperatorCallKind::kChange);
}

void OperatorWorkload::schedulePass(std::size_t number) {
  WorkloadTenant tenant = tenants_.front();
  tenant.name = std::string(kPassingPrefix) + std::to_string(number);
  tenant.bearerKey = "passing-key-" + std::to_string(number);
  const auto createdAfter = uniform(options_.length / 2);
  fleet_.scheduler().after(createdAfter, [this, tenant] {
    if (over()) return;
    submit({OperatorCallKind::kCreate, tenant, 0, nextOperationId(), nextMark_++, 0});
    // Callers use it all the time, also after its retirement.
    constexpr int kCalls = 40;
    for (int call = 0; call < kCalls; ++call) {
      fleet_.scheduler().after(uniform(options_.length / 2), [this, tenant] {
        if (!over()) callers_.sendCompletion(tenant);
      });
    }
    fleet_.scheduler().after(kPassingLife, [this, tenant] {
      if (!over()) change(tenant, OperatorCallKind::kRetire);
    });
  });
}

void OperatorWorkload::change(const WorkloadTenant& tenant, OperatorCallKind kind) {
  const node::OperatorRequest read{"GET", "/v1/templates/" + tenant.name, ""};
  fleet_.node(chooseNode())
      .operate(read, [this, tenant, kind](std::optional<node::OperatorResponse> response) {
        if (!response || response->code != base::ResultCode::kOk) {
          if (kind != OperatorCallKind::kRetire || over()) return;
          fleet_.scheduler().after(kRepetitionPause,
                                   [this, tenant, kind] { change(tenant, kind); });
          return;
        }
        Change change{kind, tenant, versionIn(response->body), nextOperationId(), nextMark_++, 0};
        // Time to type: others change the template meanwhile.
        fleet_.scheduler().after(uniform(std::chrono::milliseconds(400)),
                                 [this, change] { submit(change); });
      });
}

void OperatorWorkload::submit(const Change& change) {
  node::OperatorRequest request;
  request.method = change.kind == OperatorCallKind::kRetire ? "DELETE" : "PUT";
  request.target = "/v1/templates/" + change.tenant.name + "?operation=" + change.operationId +
                   "&author=operator";
  if (change.kind != OperatorCallKind::kCreate) {
    request.target += "&version=" + std::to_string(change.expectedVersion);
  }
  if (change.kind != OperatorCallKind::kRetire) {
    const bool passing = change.tenant.name.starts_with(kPassingPrefix);
    request.body = tenantDocument(change.tenant, change.mark, passing);
  }
  OperatorCall call;
  call.name = change.tenant.name;
  call.kind = change.kind;
  call.expectedVersion = change.expectedVersion;
  call.operationId = change.operationId;
  call.node = chooseNode();
  call.invokedAt = fleet_.scheduler().now();
  call.mark = change.mark;
  auto& calls = recorder_.history().operatorCalls;
  const auto node = call.node;
  calls.push_back(std::move(call));
  const auto record = calls.size() - 1;
  fleet_.node(node).operate(
      std::move(request),
      [this, change, record](const std::optional<node::OperatorResponse>& response) {
        onAnswer(change, record, response);
      });
}

void OperatorWorkload::onAnswer(Change change, std::size_t record,
                                const std::optional<node::OperatorResponse>& response) {
  auto& call = recorder_.history().operatorCalls[record];
  if (response) {
    call.status = statusOf(*response);
    call.version = versionIn(response->body);
    if (call.status != OperatorCallStatus::kUnknown) {
      call.returnedAt = fleet_.scheduler().now();
    }
  }
  const bool again =
      call.status == OperatorCallStatus::kUnknown ||
      (call.status == OperatorCallStatus::kNotDone && change.kind != OperatorCallKind::kChange);
  if (!again || ++change.repetitions > kMaximumRepetitions) return;
  // The same call again: its identifier makes that harmless.
  fleet_.scheduler().after(kRepetitionPause, [this, change] { submit(change); });
}

}  // namespace covewing::sim
