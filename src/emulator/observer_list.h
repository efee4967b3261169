/// \file
/// Passes what back ends do on to several observers, in the order in which they were added.
#pragma once

#include <vector>

#include "emulator/execution_observer.h"

namespace covewing::emulator {

class ObserverList final : public ExecutionObserver {
 public:
  /// `observer` must outlive the models that report here.
  void add(ExecutionObserver& observer) { observers_.push_back(&observer); }

  void onRefused(base::EngineId engine, const clients::EngineRequest& request,
                 const base::Reason& reason) override {
    for (auto* observer : observers_) observer->onRefused(engine, request, reason);
  }
  void onAccepted(const ExecutionRecord& record) override {
    for (auto* observer : observers_) observer->onAccepted(record);
  }
  void onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) override {
    for (auto* observer : observers_) observer->onStarted(record, reuse);
  }
  void onChunk(const ExecutionRecord& record, const clients::StreamChunk& chunk) override {
    for (auto* observer : observers_) observer->onChunk(record, chunk);
  }
  void onFinished(const ExecutionRecord& record, ExecutionEnd end) override {
    for (auto* observer : observers_) observer->onFinished(record, end);
  }
  void onBlockStored(base::EngineId engine, base::BlockHash block) override {
    for (auto* observer : observers_) observer->onBlockStored(engine, block);
  }
  void onBlockEvicted(base::EngineId engine, base::BlockHash block) override {
    for (auto* observer : observers_) observer->onBlockEvicted(engine, block);
  }
  void onCacheLost(base::EngineId engine) override {
    for (auto* observer : observers_) observer->onCacheLost(engine);
  }
  void onOrder(base::EngineId engine, const clients::EngineOrder& order,
               const clients::OrderReply& reply) override {
    for (auto* observer : observers_) observer->onOrder(engine, order, reply);
  }
  void onApplicationExecuted(const ApplicationExecution& execution) override {
    for (auto* observer : observers_) observer->onApplicationExecuted(execution);
  }

 private:
  std::vector<ExecutionObserver*> observers_;
};

}  // namespace covewing::emulator
