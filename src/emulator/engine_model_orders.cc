// Reports and orders of the engine model.
#include <algorithm>
#include <tuple>
#include <utility>

#include "emulator/engine_model.h"

namespace covewing::emulator {

using base::Reason;
using base::ResultCode;
using platform::EngineOrder;
using platform::EngineReport;
using platform::LoadedWeights;
using platform::OrderKind;
using platform::OrderReply;
using platform::OrderStatus;

namespace {
/// Finished orders remembered, so that a repeated one is not obeyed twice.
constexpr std::size_t kRememberedOrders = 64;
}  // namespace

// --- reports

std::size_t EngineModel::waitingCount() const {
  std::size_t count = 0;
  for (const auto& queue : waiting_) count += queue.size();
  return count;
}

platform::EngineLoad EngineModel::currentLoad() const {
  platform::EngineLoad load;
  for (const Index index : running_) {
    const Execution& execution = executions_[index];
    if (execution.phase == Phase::kOver) continue;
    ++load.running;
    if (execution.phase == Phase::kDecoding) continue;
    load.queuedPrefillTokens[static_cast<std::size_t>(execution.record.priority)] +=
        execution.prefillLeft;
  }
  for (std::size_t priority = 0; priority < kClasses; ++priority) {
    load.waiting[priority] = static_cast<std::uint32_t>(waiting_[priority].size());
    for (const Index index : waiting_[priority]) {
      load.queuedPrefillTokens[priority] += executions_[index].prefillLeft;
    }
  }
  load.cachedBlocks = cache_.cachedBlocks();
  load.capacityBlocks = cache_.capacity();
  return load;
}

/// Samples once a period while anything changes; an engine at rest costs no timer.
void EngineModel::sampleLoad() {
  if (sampleTimer_ != 0) return;
  sampleTimer_ = timers_.schedule(options_.loadReportPeriod, [this] {
    sampleTimer_ = 0;
    publishedLoad_ = std::exchange(sampledLoad_, currentLoad());
    if (publishedLoad_ != sampledLoad_ || !isIdle()) sampleLoad();
  });
}

EngineReport EngineModel::basicReport() const {
  EngineReport report;
  report.incarnation = incarnation_;
  report.role = role_;
  report.leaving = leaving_;
  report.weights = weights_;
  report.fencingToken = fencingToken_;
  if (!finishedOrders_.empty()) report.lastOrder = finishedOrders_.back();
  report.load = publishedLoad_;
  return report;
}

void EngineModel::report(std::uint64_t fromSequence, ReportCallback callback) {
  if (!up_) {
    callback(std::nullopt);
    return;
  }
  whenAwake([this, fromSequence, callback = std::move(callback)] {
    EngineReport answer = basicReport();
    journal_.read(fromSequence, clock_.now(), answer);
    callback(std::move(answer));
  });
}

void EngineModel::snapshot(ReportCallback callback) {
  if (!up_) {
    callback(std::nullopt);
    return;
  }
  whenAwake([this, callback = std::move(callback)] {
    EngineReport answer = basicReport();
    answer.firstSequence = journal_.nextSequence();
    answer.nextSequence = journal_.nextSequence();
    for (const base::BlockHash block : cache_.blocks()) {
      answer.events.push_back({platform::CacheEventKind::kStored, block});
    }
    callback(std::move(answer));
  });
}

// --- orders

void EngineModel::order(EngineOrder order, OrderCallback callback) {
  if (!up_) {
    callback(OrderReply{OrderStatus::kUnreachable, 0, "engine is down"});
    return;
  }
  whenAwake([this, order = std::move(order), callback = std::move(callback)] {
    callback(applyOrder(order));
  });
}

bool EngineModel::knowsOrder(const std::string& orderId) const {
  const auto same = [&](const EngineOrder& known) { return known.orderId == orderId; };
  if (std::any_of(orders_.begin(), orders_.end(), same)) return true;
  return std::find(finishedOrders_.begin(), finishedOrders_.end(), orderId) !=
         finishedOrders_.end();
}

std::optional<Reason> EngineModel::orderMistake(const EngineOrder& order) const {
  if (order.orderId.empty()) return Reason{ResultCode::kOrderInvalid, "order_id is empty"};
  if (order.kind == OrderKind::kChangeRole) return std::nullopt;
  if (order.weights.model.empty() || order.weights.version == 0) {
    return Reason{ResultCode::kOrderInvalid, "weights need a model and a version"};
  }
  if (order.kind == OrderKind::kLoadWeights && !fitsInMemory(order.weights)) {
    return Reason{ResultCode::kOrderInvalid, "no memory for another set of weights"};
  }
  return std::nullopt;
}

bool EngineModel::fitsInMemory(const LoadedWeights& weights) const {
  std::vector<LoadedWeights> after = weights_;
  const auto remove = [&](const LoadedWeights& gone) {
    std::erase_if(after, [&](const LoadedWeights& loaded) {
      return loaded.model == gone.model && loaded.version == gone.version;
    });
  };
  for (const EngineOrder& order : orders_) {
    if (order.kind == OrderKind::kChangeRole) continue;
    remove(order.weights);
    if (order.kind == OrderKind::kLoadWeights) after.push_back(order.weights);
  }
  remove(weights);
  return after.size() < options_.maximumLoadedWeights;
}

OrderReply EngineModel::applyOrder(const EngineOrder& order) {
  OrderReply reply{OrderStatus::kAccepted, fencingToken_, {}};
  if (order.fencingToken < fencingToken_ && options_.safeguards.checkFencing) {
    reply.status = OrderStatus::kFencedOff;
    reply.detail = "a newer fencing token was seen";
  } else if (knowsOrder(order.orderId)) {
    fencingToken_ = std::max(fencingToken_, order.fencingToken);
    reply.fencingToken = fencingToken_;
    return reply;
  } else if (auto mistake = orderMistake(order)) {
    reply.status = OrderStatus::kInvalid;
    reply.detail = mistake->detail;
  } else {
    fencingToken_ = std::max(fencingToken_, order.fencingToken);
    reply.fencingToken = fencingToken_;
    orders_.push_back(order);
  }
  if (surroundings_.observer != nullptr) surroundings_.observer->onOrder(id_, order, reply);
  if (reply.status == OrderStatus::kAccepted) runNextOrder();
  return reply;
}

void EngineModel::runNextOrder() {
  if (orderRunning_ || orders_.empty()) return;
  orderRunning_ = true;
  const EngineOrder& order = orders_.front();
  switch (order.kind) {
    case OrderKind::kChangeRole:
      role_ = order.role;
      finishOrder();
      return;
    case OrderKind::kLoadWeights:
      loadWeights(order.weights, [this] {
        addWeights(orders_.front().weights);
        finishOrder();
      });
      return;
    case OrderKind::kUnloadWeights:
      unloading_ = true;
      finishUnload();
      return;
  }
}

void EngineModel::finishOrder() {
  finishedOrders_.push_back(orders_.front().orderId);
  if (finishedOrders_.size() > kRememberedOrders) finishedOrders_.erase(finishedOrders_.begin());
  orders_.pop_front();
  orderRunning_ = false;
  runNextOrder();
}

LoadedWeights* EngineModel::findWeights(const std::string& model, base::WeightsVersion version) {
  for (LoadedWeights& weights : weights_) {
    if (weights.model == model && weights.version == version) return &weights;
  }
  return nullptr;
}

const LoadedWeights* EngineModel::findWeights(const std::string& model,
                                              base::WeightsVersion version) const {
  return const_cast<EngineModel*>(this)->findWeights(model, version);
}

void EngineModel::loadWeights(const LoadedWeights& weights, std::function<void()> done) {
  const LoadedWeights* present = findWeights(weights.model, weights.version);
  double share = present == nullptr ? 1.0 : 0.0;
  for (const std::string& adapter : weights.adapters) {
    const bool known = present != nullptr &&
                       std::find(present->adapters.begin(), present->adapters.end(), adapter) !=
                           present->adapters.end();
    if (!known) share += options_.adapterShare;
  }
  if (surroundings_.weightStore == nullptr || share <= 0.0) {
    done();
    return;
  }
  if (options_.stallsWhileLoading) ++stalls_;
  const auto finished = [this, done = std::move(done)] {
    whenAwake([this, done] {
      if (options_.stallsWhileLoading) --stalls_;
      done();
      kick();
    });
  };
  loads_.push_back(surroundings_.weightStore->load(share, finished));
}

void EngineModel::addWeights(const LoadedWeights& weights) {
  LoadedWeights* present = findWeights(weights.model, weights.version);
  if (present == nullptr) {
    weights_.push_back(weights);
    std::sort(weights_.begin(), weights_.end(), [](const auto& left, const auto& right) {
      return std::tie(left.model, left.version) < std::tie(right.model, right.version);
    });
    return;
  }
  for (const std::string& adapter : weights.adapters) {
    auto& adapters = present->adapters;
    if (std::find(adapters.begin(), adapters.end(), adapter) == adapters.end()) {
      adapters.push_back(adapter);
    }
  }
}

bool EngineModel::usesWeights(const LoadedWeights& weights) const {
  return std::any_of(executions_.begin(), executions_.end(), [&](const Execution& execution) {
    const bool active = execution.phase != Phase::kFree && execution.phase != Phase::kOver;
    return active && execution.record.identity.model == weights.model &&
           execution.record.identity.weightsVersion == weights.version;
  });
}

/// New requests for the weights are refused at once; accepted ones finish first.
void EngineModel::finishUnload() {
  const LoadedWeights& target = orders_.front().weights;
  std::erase_if(weights_, [&](const LoadedWeights& weights) {
    return weights.model == target.model && weights.version == target.version;
  });
  if (usesWeights(target)) return;
  unloading_ = false;
  for (std::uint32_t index = 0; index < provenances_.size(); ++index) {
    const platform::CacheIdentity& identity = provenances_.at(index).identity;
    if (identity.model != target.model || identity.weightsVersion != target.version) continue;
    cache_.dropProvenance(index, evicted_);
  }
  noteEvicted();
  finishOrder();
}

}  // namespace covewing::emulator
