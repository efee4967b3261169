// Reports and orders of the engine model.
#include <algorithm>
#include <utility>

#include "emulator/engine_model.h"

namespace covewing::emulator {

using base::Reason;
using base::ResultCode;
using clients::EngineOrder;
using clients::EngineReport;
using clients::LoadedWeights;
using clients::OrderKind;
using clients::OrderReply;
using clients::OrderStatus;

// --- reports

std::size_t EngineModel::waitingCount() const {
  std::size_t count = 0;
  for (const auto& queue : waiting_) count += queue.size();
  return count;
}

clients::EngineLoad EngineModel::currentLoad() const {
  clients::EngineLoad load;
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
  report.weights = weights_.loaded();
  report.fencingToken = orders_.fencingToken();
  report.lastOrder = orders_.lastFinished();
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
      answer.events.push_back({clients::CacheEventKind::kStored, block});
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
    callback(takeOrder(order));
  });
}

OrderReply EngineModel::takeOrder(const EngineOrder& order) {
  const bool repeated = orders_.knows(order.orderId);
  OrderReply reply = orders_.accept(order, orderMistake(order));
  const bool obeyed = reply.status == OrderStatus::kAccepted;
  if (obeyed && repeated) return reply;
  if (surroundings_.observer != nullptr) surroundings_.observer->onOrder(id_, order, reply);
  if (obeyed) orders_.runNext();
  return reply;
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

/// Counts what is loaded once the orders before it are done.
bool EngineModel::fitsInMemory(const LoadedWeights& weights) const {
  std::vector<LoadedWeights> after = weights_.loaded();
  const auto remove = [&](const LoadedWeights& gone) {
    std::erase_if(after, [&](const LoadedWeights& loaded) {
      return loaded.model == gone.model && loaded.version == gone.version;
    });
  };
  for (const EngineOrder& order : orders_.unfinished()) {
    if (order.kind == OrderKind::kChangeRole) continue;
    remove(order.weights);
    if (order.kind == OrderKind::kLoadWeights) after.push_back(order.weights);
  }
  remove(weights);
  return after.size() < options_.maximumLoadedWeights;
}

void EngineModel::runOrder(const EngineOrder& order) {
  switch (order.kind) {
    case OrderKind::kChangeRole:
      role_ = order.role;
      orders_.finishCurrent();
      return;
    case OrderKind::kLoadWeights:
      loadWeights(order.weights, [this] {
        deployed_.add(orders_.current().weights);
        orders_.finishCurrent();
      });
      return;
    case OrderKind::kUnloadWeights:
      unloading_ = true;
      finishUnload();
      return;
  }
}

void EngineModel::loadWeights(const LoadedWeights& weights, const std::function<void()>& done) {
  if (options_.stallsWhileLoading) ++stalls_;
  weights_.fetch(weights, [this, weights, done] {
    whenAwake([this, weights, done] {
      if (options_.stallsWhileLoading) --stalls_;
      weights_.add(weights);
      done();
      kick();
    });
  });
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
  const LoadedWeights target = orders_.current().weights;
  weights_.remove(target.model, target.version);
  deployed_.remove(target.model, target.version);
  if (usesWeights(target)) return;
  unloading_ = false;
  for (std::uint32_t index = 0; index < provenances_.size(); ++index) {
    const clients::CacheIdentity& identity = provenances_.at(index).identity;
    if (identity.model != target.model || identity.weightsVersion != target.version) continue;
    cache_.dropProvenance(index, evicted_);
  }
  noteEvicted();
  orders_.finishCurrent();
}

}  // namespace covewing::emulator
