#include "coordination/order_request.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace covewing::coordination {

namespace {

constexpr std::uint32_t kDefaultServingDivisor = 2;

using EnginePointers = std::vector<const CatalogueEngine*>;

const CatalogueEngine* findByName(const std::vector<CatalogueEngine>& engines,
                                  const std::string& name) {
  const auto found = std::ranges::find_if(
      engines, [&name](const CatalogueEngine& engine) { return engine.address.name == name; });
  return found == engines.end() ? nullptr : &*found;
}

/// Finds the engines named in the request; adds a mistake for each that cannot receive an order.
EnginePointers namedEngines(const OrderRequest& request,
                            const std::vector<CatalogueEngine>& engines,
                            std::vector<config::FieldMistake>& mistakes) {
  EnginePointers chosen;
  for (std::size_t index = 0; index < request.engines.size(); ++index) {
    const std::string path = "engines[" + std::to_string(index) + "]";
    const CatalogueEngine* engine = findByName(engines, request.engines[index]);
    if (engine == nullptr) {
      mistakes.push_back({path, "no engine is named " + request.engines[index]});
    } else if (engine->region != request.region) {
      mistakes.push_back({path, "the engine is in region " + engine->region});
    } else if (engine->leaving) {
      mistakes.push_back({path, "the engine is leaving"});
    } else if (std::ranges::find(chosen, engine) != chosen.end()) {
      mistakes.push_back({path, "given twice"});
    } else {
      chosen.push_back(engine);
    }
  }
  return chosen;
}

/// Whether an engine that the request does not name may be part of the order.
bool qualifies(const OrderRequest& request, const CatalogueEngine& engine) {
  if (engine.region != request.region || engine.leaving || engine.unreachable) return false;
  if (!request.zone.empty() && engine.zone != request.zone) return false;
  switch (request.type) {
    case OrderType::kLoad:
      return !holdsWeights(engine.weights, {request.model, request.version, request.adapters});
    case OrderType::kSwap:
      return holdsModel(engine.weights, request.model);
    case OrderType::kRole:
      return engine.role != request.role;
  }
  return false;
}

EnginePointers chooseEngines(const OrderRequest& request,
                             const std::vector<CatalogueEngine>& engines) {
  EnginePointers chosen;
  for (const CatalogueEngine& engine : engines) {
    if (qualifies(request, engine)) chosen.push_back(&engine);
  }
  return chosen;
}

/// Orders engines by alternating zones, names ascending within a zone.
EnginePointers interleaveZones(EnginePointers engines) {
  std::ranges::sort(engines, {},
                    [](const CatalogueEngine* engine) { return engine->address.name; });
  std::map<std::string, EnginePointers> byZone;
  for (const CatalogueEngine* engine : engines) byZone[engine->zone].push_back(engine);
  EnginePointers result;
  for (std::size_t round = 0; result.size() < engines.size(); ++round) {
    for (const auto& [zone, members] : byZone) {
      if (round < members.size()) result.push_back(members[round]);
    }
  }
  return result;
}

/// Serving engines first, and among them those that have the model: on an engine that has no other
/// version of the model, the new version would be served by that engine alone.
EnginePointers inOrderOfPreference(const EnginePointers& engines, const std::string& model) {
  std::map<std::pair<clients::EngineRole, bool>, EnginePointers> groups;
  for (const CatalogueEngine* engine : engines) {
    const bool lacksModel = !holdsModel(engine->weights, model);
    groups[{engine->role, lacksModel}].push_back(engine);
  }
  EnginePointers result;
  for (auto& [preference, members] : groups) {
    const EnginePointers interleaved = interleaveZones(std::move(members));
    result.insert(result.end(), interleaved.begin(), interleaved.end());
  }
  return result;
}

std::uint32_t servingEngines(const OrderRequest& request,
                             const std::vector<CatalogueEngine>& engines) {
  return static_cast<std::uint32_t>(std::ranges::count_if(engines, [&](const auto& engine) {
    return engine.region == request.region && !engine.leaving && !engine.unreachable &&
           engine.role == clients::EngineRole::kServing &&
           holdsModel(engine.weights, request.model);
  }));
}

std::uint32_t minimumServingOf(const OrderRequest& request,
                               const std::vector<CatalogueEngine>& engines) {
  if (request.minimumServing) return *request.minimumServing;
  if (request.type == OrderType::kLoad) return 0;
  if (request.type == OrderType::kRole) return 1;
  return servingEngines(request, engines) / kDefaultServingDivisor;
}

/// Adapters that the engines have loaded with any version of the model, ascending.
std::vector<std::string> adaptersOf(const EnginePointers& engines, const std::string& model) {
  std::set<std::string> adapters;
  for (const CatalogueEngine* engine : engines) {
    for (const clients::LoadedWeights& loaded : engine->weights) {
      if (loaded.model == model) adapters.insert(loaded.adapters.begin(), loaded.adapters.end());
    }
  }
  return {adapters.begin(), adapters.end()};
}

void checkRequest(const OrderRequest& request, std::vector<config::FieldMistake>& mistakes) {
  if (request.operationId.empty()) mistakes.push_back({"operation", "must be given"});
  if (request.region.empty()) mistakes.push_back({"region", "must be given"});
  if (request.count && *request.count == 0) mistakes.push_back({"count", "must be at least 1"});
  if (request.count && !request.engines.empty()) {
    mistakes.push_back({"count", "not with named engines"});
  }
  if (!request.zone.empty() && !request.engines.empty()) {
    mistakes.push_back({"zone", "not with named engines"});
  }
  if (request.type == OrderType::kRole) {
    if (request.engines.empty() && !request.count && request.zone.empty()) {
      mistakes.push_back({"engines", "name the engines, or give count or zone"});
    }
    return;
  }
  if (request.model.empty()) mistakes.push_back({"model", "must be given"});
  if (request.version == 0) mistakes.push_back({"version", "must be a whole number from 1"});
}

}  // namespace

std::optional<Order> makeOrder(const OrderRequest& request,
                               const std::vector<CatalogueEngine>& engines,
                               std::vector<config::FieldMistake>& mistakes) {
  checkRequest(request, mistakes);
  EnginePointers chosen = request.engines.empty() ? chooseEngines(request, engines)
                                                  : namedEngines(request, engines, mistakes);
  if (!mistakes.empty()) return std::nullopt;
  chosen = inOrderOfPreference(chosen, request.model);
  const bool choosesOne = request.type == OrderType::kLoad && request.engines.empty() &&
                          !request.count && request.zone.empty();
  const std::size_t wanted = request.count ? *request.count : choosesOne ? 1 : chosen.size();
  if (chosen.empty() || chosen.size() < wanted) {
    mistakes.push_back({"engines", std::to_string(chosen.size()) + " engines qualify in region " +
                                       request.region});
    return std::nullopt;
  }
  chosen.resize(wanted);
  Order order;
  order.id = orderIdOf(request.operationId);
  order.region = request.region;
  order.type = request.type;
  order.weights = {request.model, request.version, request.adapters};
  // A swap must keep the adapters that tenants use.
  if (request.type == OrderType::kSwap && request.adapters.empty()) {
    order.weights.adapters = adaptersOf(chosen, request.model);
  }
  order.role = request.role;
  order.parallel = request.parallel;
  order.minimumServing = minimumServingOf(request, engines);
  order.keepOld = request.keepOld;
  order.operationId = request.operationId;
  order.author = request.author;
  for (const CatalogueEngine* engine : chosen) {
    OrderStep step;
    step.engine = engine->address.name;
    order.steps.push_back(std::move(step));
  }
  return order;
}

}  // namespace covewing::coordination
