#include "request/relay_service.h"

#include <algorithm>
#include <utility>

namespace covewing::request {

namespace {

RelayRefusal refusalOf(base::ResultCode code, std::string detail, base::Duration retryAfter = {},
                       bool closeConnection = false) {
  return {{code, std::move(detail)}, base::describe(code).httpStatus, retryAfter, closeConnection};
}

}  // namespace

RelayService::RelayService(RelayServiceOptions options, RelayDependencies dependencies,
                           const RouteTableSource& tables, RelayFlow::NodeCount nodes)
    : options_(options), dependencies_(dependencies), tables_(tables), nodes_(std::move(nodes)) {}

RelayService::~RelayService() = default;

bool RelayService::confirmed() const {
  if (options_.confirmationBound == base::Duration::zero()) return true;
  const auto confirmedAt = tables_.confirmedAt();
  return confirmedAt && dependencies_.clock.now() - *confirmedAt < options_.confirmationBound;
}

std::weak_ptr<RelayFlow> RelayService::begin(IncomingRequest incoming,
                                             std::unique_ptr<ResponseWriter> writer) {
  RelayAssignment assignment;
  if (const auto refusal = assign(incoming, assignment)) {
    dependencies_.log.write(
        base::Event::kRequestRefused,
        {{"request", incoming.request->id},
         {"host", incoming.host},
         {"path", incoming.path},
         {"code", std::to_string(static_cast<unsigned>(refusal->reason.code))},
         {"status", std::to_string(refusal->status)},
         {"why", refusal->reason.detail},
         {"configuration", assignment.table ? std::to_string(assignment.table->version()) : ""}});
    writer->refuse(*refusal);
    return {};
  }
  RelayFlow::Hooks hooks;
  hooks.check = [this, assignment](const IncomingRequest& pending) {
    return recheck(pending, assignment);
  };
  hooks.nodes = nodes_;
  hooks.tableInForce = [this] { return tables_.table(); };
  hooks.lastResponsesAt = lastResponsesAt_;
  const auto number = ++lastFlowNumber_;
  hooks.finished = [this, number](RelayFlow& /*flow*/) { flows_.erase(number); };
  const auto flow =
      std::make_shared<RelayFlow>(dependencies_, options_.relay, std::move(incoming),
                                  std::move(assignment), std::move(writer), std::move(hooks));
  flows_.emplace(number, flow);
  flow->start();
  return flow;
}

std::vector<RelayService::FlowPtr> RelayService::openFlows() const {
  std::vector<FlowPtr> flows;
  flows.reserve(flows_.size());
  for (const auto& [number, flow] : flows_) flows.push_back(flow);
  return flows;
}

void RelayService::onWeightsChanged() {
  for (const auto& flow : openFlows()) flow->onWeightsChanged();
}

void RelayService::stopBy(base::TimePoint lastResponsesAt) {
  lastResponsesAt_ = lastResponsesAt;
  for (const auto& flow : openFlows()) flow->onNodeStopping(lastResponsesAt);
}

void RelayService::endRequests() {
  refuseNewRequests();
  for (const auto& flow : openFlows()) flow->onNodeEnding();
}

std::optional<RelayRefusal> RelayService::assign(const IncomingRequest& incoming,
                                                 RelayAssignment& assignment) {
  if (draining_) {
    return refusalOf(base::ResultCode::kNodeDraining, "this node is stopping",
                     options_.retryAfterDraining, true);
  }
  assignment.table = tables_.table();
  if (!assignment.table) {
    return refusalOf(base::ResultCode::kConfigurationStale, "no configuration is known yet",
                     options_.retryAfterNoConfiguration, true);
  }
  assignment.route = assignment.table->findRoute(incoming.host, incoming.path);
  if (assignment.route == nullptr)
    return refusalOf(base::ResultCode::kUnknownPath, "no route has this host and path");
  if (auto refusal = checkKey(incoming, assignment)) return refusal;
  assignment.service = chooseService(*assignment.table, *assignment.route);
  if (assignment.service == nullptr) {
    return refusalOf(base::ResultCode::kNoBackEnd, "the route's service is not configured",
                     options_.retryAfterNoConfiguration);
  }
  assignment.demand = demandOf(incoming, assignment);
  return std::nullopt;
}

std::optional<admission::QuotaDemand> RelayService::demandOf(
    const IncomingRequest& incoming, const RelayAssignment& assignment) const {
  if (assignment.tenant == nullptr || !assignment.tenant->rate) return std::nullopt;
  const auto& rate = *assignment.tenant->rate;
  admission::QuotaDemand demand;
  demand.tenant = base::tenantIdOf(assignment.tenant->name);
  demand.revision = assignment.table->version();
  demand.limits = options_.quotaWindow.limitsFor(rate);
  demand.tokens = rate.countOf(incoming.declaredTokens);
  return demand;
}

std::optional<RelayRefusal> RelayService::checkKey(const IncomingRequest& incoming,
                                                   RelayAssignment& assignment) {
  if (assignment.route->isPublic || !assignment.table->hasTenants()) return std::nullopt;
  if (!confirmed()) return unconfirmed();
  assignment.confirmedAt = tables_.confirmedAt();
  assignment.tenant = assignment.table->findTenantByKey(incoming.key);
  if (assignment.tenant == nullptr)
    return refusalOf(base::ResultCode::kUnknownTenant, "the key belongs to no tenant");
  return std::nullopt;
}

std::optional<RelayRefusal> RelayService::recheck(const IncomingRequest& incoming,
                                                  const RelayAssignment& assignment) const {
  if (assignment.tenant == nullptr) return std::nullopt;
  if (!confirmed()) return unconfirmed();
  const auto table = tables_.table();
  if (table->findTenantByKey(incoming.key) == nullptr)
    return refusalOf(base::ResultCode::kUnknownTenant, "the key was taken away");
  return std::nullopt;
}

RelayRefusal RelayService::unconfirmed() const {
  return refusalOf(base::ResultCode::kConfigurationStale,
                   "keys cannot be confirmed: the configuration was confirmed too long ago",
                   options_.retryAfterUnconfirmed, true);
}

const config::Service* RelayService::chooseService(const config::RouteTable& table,
                                                   const config::Route& route) {
  if (route.split.size() == 1) return table.findService(route.split.front().service);
  double total = 0;
  for (const auto& share : route.split) total += share.weight;
  const config::ServiceShare* chosen = nullptr;
  double* best = nullptr;
  for (const auto& share : route.split) {
    double& credit = credits_[route.name + '/' + share.service];
    credit += share.weight;
    if (share.weight == 0 || (best != nullptr && credit <= *best)) continue;
    best = &credit;
    chosen = &share;
  }
  if (chosen == nullptr) return nullptr;
  *best -= total;
  return table.findService(chosen->service);
}

}  // namespace covewing::request
