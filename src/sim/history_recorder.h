/// \file
/// Fills a history: hears the back ends as an observer, is told of calls, faults and node events by
/// the scenario, and samples what nodes have in force.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/execution_observer.h"
#include "sim/fleet.h"
#include "sim/history.h"

namespace covewing::sim {

class HistoryRecorder final : public emulator::ExecutionObserver {
 public:
  HistoryRecorder() = default;
  HistoryRecorder(const HistoryRecorder&) = delete;
  HistoryRecorder& operator=(const HistoryRecorder&) = delete;

  /// Begins to record. The fleet was made with this as its observer and event receiver.
  void attach(Fleet& fleet);
  /// Takes the last sample and closes the history.
  void finish();

  History& history() { return history_; }
  const History& history() const { return history_; }

  void onEvent(const std::string& node, base::Event event,
               std::initializer_list<base::EventField> fields);
  void noteNode(std::size_t node, NodeEventKind kind, std::size_t openCalls = 0);
  /// A call was served whole by that run of the node.
  void noteServed(std::size_t node, base::Incarnation incarnation);
  /// An engine restarts and loads its weights by itself, which is no order.
  void noteEngineRestart();
  /// A fault from now for `duration`.
  void noteFault(std::string kind, std::string subject, base::Duration duration);
  void noteLeave(base::EngineId backEnd, const std::string& name);

  void onRefused(base::EngineId engine, const clients::EngineRequest& request,
                 const base::Reason& reason) override;
  void onAccepted(const emulator::ExecutionRecord& record) override;
  void onStarted(const emulator::ExecutionRecord& record,
                 const emulator::ExecutionReuse& reuse) override;
  void onOrder(base::EngineId engine, const clients::EngineOrder& order,
               const clients::OrderReply& reply) override;
  void onApplicationExecuted(const emulator::ApplicationExecution& execution) override;

 private:
  base::TimePoint now() const;
  void sampleLater();
  void sample();
  void sampleNode(std::size_t index);
  void sampleTable();
  void sampleLoads();
  void addCommitted(const std::string& name, const std::string& document,
                    const std::string& operationId, base::Revision revision, bool retired,
                    std::uint64_t salt);

  Fleet* fleet_ = nullptr;
  History history_;
  /// Position in history_.executions.
  std::map<std::pair<base::EngineId, emulator::ExecutionId>, std::size_t> executions_;
  std::vector<base::Revision> lastRevision_;
  std::vector<base::Incarnation> lastIncarnation_;
  std::vector<base::Incarnation> readyIncarnation_;
  std::vector<base::Incarnation> servedIncarnation_;
  std::optional<base::TimePoint> engineRestartedAt_;
  std::vector<std::map<std::string, base::Revision>> lastTemplate_;
  base::Revision tableRevision_ = 0;
  std::map<std::pair<std::string, base::Revision>, bool> committedSeen_;
};

}  // namespace covewing::sim
