#include "sim/history_recorder.h"

#include <algorithm>
#include <limits>

#include "config/template_document.h"
#include "config/template_row.h"

namespace covewing::sim {

namespace {
/// Nodes and table are looked at this often.
constexpr base::Duration kSamplePeriod = std::chrono::milliseconds(50);
/// For this long after an engine's restart, loads of weights may be its own.
constexpr base::Duration kRestartLoads = std::chrono::seconds(15);

/// The workloads' mark: the limit of output tokens, the one field that they change.
std::uint32_t markOf(const config::TenantTemplate& tenant) {
  return tenant.limits.maximumOutputTokens;
}
}  // namespace

base::TimePoint HistoryRecorder::now() const { return fleet_->scheduler().now(); }

void HistoryRecorder::attach(Fleet& fleet) {
  fleet_ = &fleet;
  for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
    history_.nodes.push_back(fleet.node(index).name());
    history_.nodeZones.push_back(fleet.node(index).options().zone);
  }
  lastRevision_.assign(fleet.nodeCount(), 0);
  lastIncarnation_.assign(fleet.nodeCount(), 0);
  lastTemplate_.resize(fleet.nodeCount());
  readyIncarnation_.assign(fleet.nodeCount(), 0);
  servedIncarnation_.assign(fleet.nodeCount(), 0);
  history_.loadSlots = fleet.options().platform.weights.fullSpeedLoads;
  sample();
}

void HistoryRecorder::finish() {
  sampleTable();
  history_.endedAt = now();
}

void HistoryRecorder::sampleLater() {
  fleet_->scheduler().after(kSamplePeriod, [this] { sample(); });
}

void HistoryRecorder::sample() {
  sampleTable();
  sampleLoads();
  for (std::size_t index = 0; index < fleet_->nodeCount(); ++index) sampleNode(index);
  sampleLater();
}

void HistoryRecorder::sampleLoads() {
  // Loads of restarting engines are not the orders' own.
  if (engineRestartedAt_ && now() - *engineRestartedAt_ < kRestartLoads) return;
  history_.peakLoads = std::max(history_.peakLoads, fleet_->weightStore().activeLoads());
}

void HistoryRecorder::noteEngineRestart() { engineRestartedAt_ = now(); }

void HistoryRecorder::noteServed(std::size_t node, base::Incarnation incarnation) {
  if (servedIncarnation_[node] == incarnation) return;
  servedIncarnation_[node] = incarnation;
  history_.nodeEvents.push_back({node, incarnation, NodeEventKind::kFirstServed, now(), 0});
}

void HistoryRecorder::sampleNode(std::size_t index) {
  auto& host = fleet_->node(index);
  auto* node = host.node();
  if (node == nullptr) return;
  const auto incarnation = host.process().incarnation();
  if (incarnation != lastIncarnation_[index]) {
    lastIncarnation_[index] = incarnation;
    lastRevision_[index] = 0;
    lastTemplate_[index].clear();
  }
  if (readyIncarnation_[index] != incarnation && node->ready()) {
    readyIncarnation_[index] = incarnation;
    noteNode(index, NodeEventKind::kReady);
  }
  const auto revision = node->configuration().freshness().revision;
  if (revision != lastRevision_[index]) {
    lastRevision_[index] = revision;
    history_.configurations.push_back({index, incarnation, now(), revision});
  }
  for (const auto& [key, seen] : committedSeen_) {
    const auto& name = key.first;
    const auto tenant = node->configuration().findByName(name);
    auto& last = lastTemplate_[index][name];
    const auto current = tenant ? tenant->revision : 0;
    if (current == last) continue;
    last = current;
    history_.templates.push_back({index, incarnation, now(), name, current,
                                  tenant && tenant->retired, tenant ? markOf(*tenant) : 0});
  }
}

void HistoryRecorder::sampleTable() {
  const auto& table = fleet_->table();
  if (table.revision() == tableRevision_) return;
  const auto reply =
      table.scanNow("template", tableRevision_, std::numeric_limits<std::size_t>::max());
  tableRevision_ = table.revision();
  for (const auto& row : reply.rows) {
    base::Reason reason;
    const auto parsed = config::parseTemplateRow(row, reason);
    if (parsed) {
      addCommitted(parsed->name, parsed->document, parsed->operationId, parsed->revision,
                   parsed->retired, parsed->cacheSalt);
    }
    if (!row.key.starts_with(config::kTemplateHistoryPrefix)) continue;
    const auto name = row.key.substr(config::kTemplateHistoryPrefix.size());
    for (const auto& version : config::parseTemplateHistory(name, row.value).versions) {
      addCommitted(name, version.document, version.operationId, version.revision, version.retired,
                   version.cacheSalt);
    }
  }
}

void HistoryRecorder::addCommitted(const std::string& name, const std::string& document,
                                   const std::string& operationId, base::Revision revision,
                                   bool retired, std::uint64_t salt) {
  if (!committedSeen_.emplace(std::pair(name, revision), true).second) return;
  std::vector<config::FieldMistake> mistakes;
  std::uint32_t mark = 0;
  if (const auto parsed = config::parseTemplateDocument(document, mistakes)) {
    const auto tenant = config::expandTemplate(name, *parsed, nullptr, mistakes);
    if (tenant) mark = markOf(*tenant);
  }
  history_.committed.push_back({name, revision, operationId, retired, mark, salt, now()});
}

void HistoryRecorder::onEvent(const std::string& node, base::Event event,
                              std::initializer_list<base::EventField> fields) {
  if (fleet_ == nullptr) return;
  std::string detail;
  for (const auto& field : fields) {
    detail.append(detail.empty() ? "" : " ").append(field.name).append("=").append(field.value);
  }
  history_.log.push_back({node, event, std::move(detail), now()});
}

void HistoryRecorder::noteNode(std::size_t node, NodeEventKind kind, std::size_t openCalls) {
  const auto incarnation = fleet_->node(node).process().incarnation();
  history_.nodeEvents.push_back({node, incarnation, kind, now(), openCalls});
}

void HistoryRecorder::noteFault(std::string kind, std::string subject, base::Duration duration) {
  history_.faults.push_back({std::move(kind), std::move(subject), now(), now() + duration});
}

void HistoryRecorder::noteLeave(base::EngineId backEnd, const std::string& name) {
  history_.leaves.push_back({backEnd, name, now()});
}

void HistoryRecorder::onRefused(base::EngineId engine, const clients::EngineRequest& request,
                                const base::Reason& /*reason*/) {
  history_.engineRefusals.push_back({engine, request.requestId, now()});
}

void HistoryRecorder::onAccepted(const emulator::ExecutionRecord& record) {
  executions_[{record.engine, record.execution}] = history_.executions.size();
  EngineExecution execution;
  execution.record = record;
  execution.acceptedAt = now();
  history_.executions.push_back(std::move(execution));
}

void HistoryRecorder::onStarted(const emulator::ExecutionRecord& record,
                                const emulator::ExecutionReuse& reuse) {
  const auto found = executions_.find({record.engine, record.execution});
  if (found == executions_.end()) return;
  auto& execution = history_.executions[found->second];
  execution.startedAt = now();
  execution.localBlocks = reuse.localBlocks;
  execution.importedBlocks = reuse.importedBlocks;
  execution.provenances.assign(reuse.provenances.begin(), reuse.provenances.end());
}

void HistoryRecorder::onOrder(base::EngineId engine, const clients::EngineOrder& order,
                              const clients::OrderReply& reply) {
  history_.orders.push_back({engine, order, reply, now()});
  sampleLoads();
}

void HistoryRecorder::onApplicationExecuted(const emulator::ApplicationExecution& execution) {
  history_.replicaExecutions.push_back({execution, now()});
}

}  // namespace covewing::sim
