#include "node/operator_service_status.h"

#include <algorithm>

#include "coordination/order.h"
#include "engine_routing/engine_homes.h"
#include "node/explain_json.h"
#include "node/operator_service_response.h"

namespace covewing::node {

namespace {

using Json = nlohmann::json;

std::string_view stateOf(const engine_routing::EngineState& engine) {
  if (engine.leaving) return "leaving";
  return engine.unreachable ? "unreachable" : "up";
}

std::string_view stateOf(const membership::Member& member) {
  switch (member.state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kDead:
      return "dead";
    case membership::MemberState::kLeft:
      break;
  }
  return "left";
}

Json weightsOf(const engine_routing::EngineState& engine) {
  Json list = Json::array();
  for (const clients::LoadedWeights& weights : engine.weights) {
    list.push_back(
        {{"model", weights.model}, {"version", weights.version}, {"adapters", weights.adapters}});
  }
  return list;
}

Json loadOf(const engine_routing::ReceivedLoad& received, base::TimePoint now) {
  std::uint32_t waiting = 0;
  for (const std::uint32_t count : received.load.waiting) waiting += count;
  return {{"running", received.load.running},
          {"waiting", waiting},
          {"cached_blocks", received.load.cachedBlocks},
          {"capacity_blocks", received.load.capacityBlocks},
          {"age_ms", base::toMilliseconds(now - received.receivedAt)}};
}

Json homesOf(const engine_routing::EngineState& engine,
             const membership::MemberDirectory& members) {
  Json names = Json::array();
  for (const base::NodeId id :
       engine_routing::homesOf(engine.address.id, engine.zone, members.liveMembers())) {
    const membership::Member* member = members.find(id);
    if (member != nullptr) names.push_back(member->name);
  }
  return names;
}

Json jsonOf(const membership::Member& member) {
  return {{"name", member.name},
          {"zone", member.zone},
          {"region", member.region},
          {"endpoint", base::toString(member.endpoint)},
          {"incarnation", member.incarnation},
          {"state", stateOf(member)},
          {"draining", member.draining}};
}

Json leaseOf(const coordination::Coordinator& coordinator) {
  const coordination::LeaseStatus lease = coordinator.leaseStatus();
  return {{"candidate", lease.candidate},
          {"held", lease.held},
          {"holder", lease.holder},
          {"fencing_token", lease.token},
          {"remaining_ms", base::toMilliseconds(lease.remaining)},
          {"open_orders", coordinator.openOrders()}};
}

}  // namespace

OperatorResponse StatusCalls::fleet() const {
  std::vector<const engine_routing::EngineState*> sorted;
  sorted.reserve(fleet_.engines().size());
  for (const engine_routing::EngineState& engine : fleet_.engines()) sorted.push_back(&engine);
  std::ranges::sort(sorted, {}, [](const auto* engine) { return engine->address.name; });
  Json engines = Json::array();
  for (const engine_routing::EngineState* entry : sorted) {
    const engine_routing::EngineState& engine = *entry;
    Json json = {{"name", engine.address.name},
                 {"endpoint", base::toString(engine.address.endpoint)},
                 {"zone", engine.zone},
                 {"region", engine.region},
                 {"incarnation", engine.incarnation},
                 {"state", stateOf(engine)},
                 {"role", coordination::toString(engine.role)},
                 {"weights", weightsOf(engine)},
                 {"homes", homesOf(engine, members_)}};
    // Available only if this node is a home of the engine or has queried one recently.
    if (engine.load) json["load"] = loadOf(*engine.load, clock_.now());
    engines.push_back(std::move(json));
  }
  return okResponse({{"engines", std::move(engines)}});
}

OperatorResponse StatusCalls::node() const {
  const membership::Member& self = members_.self();
  const config::Freshness freshness = configuration_.freshness();
  const NodeActivity activity = activity_();
  Json list = Json::array();
  for (const membership::Member& member : members_.liveMembers()) list.push_back(jsonOf(member));
  return okResponse({{"name", self.name},
                     {"zone", self.zone},
                     {"region", self.region},
                     {"incarnation", self.incarnation},
                     {"ready", activity.ready},
                     {"draining", activity.draining},
                     {"open_requests", activity.openRequests},
                     {"configuration",
                      {{"revision", freshness.revision},
                       {"confirmed", freshness.confirmed},
                       {"age_ms", base::toMilliseconds(freshness.age)},
                       {"templates", configuration_.size()}}},
                     {"lease", leaseOf(coordinator_)},
                     {"members", std::move(list)}});
}

OperatorResponse StatusCalls::explain(const std::string& requestId) const {
  const request::RequestTrace* trace = explainLog_.find(base::RequestId{requestId});
  if (trace == nullptr) {
    return errorResponse(base::ResultCode::kRequestNotFound,
                         "this node keeps no record of " + requestId +
                             "; the node that served it does, for its last requests");
  }
  return {base::ResultCode::kOk, explainJson(*trace)};
}

}  // namespace covewing::node
