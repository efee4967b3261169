/// \file
/// What happened in one simulated run, as typed records in the order of their time: the input of
/// the history checkers. Callers' and operators' calls are recorded at their own end, executions at
/// the back ends, so that a checker can join what was promised with what was done.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "emulator/execution_observer.h"
#include "request/caller_request.h"

namespace covewing::sim {

/// End of a caller's call, as the caller saw it.
enum class CallEnding : std::uint8_t {
  kOpen,
  kComplete,
  kRefused,
  /// The connection to the node broke.
  kNodeLost,
  kDisconnected,
};

struct ReceivedChunk {
  std::uint64_t position = 0;
  std::string text;
};

/// One caller's call on one node.
struct CallRecord {
  std::uint64_t number = 0;
  bool proxied = false;
  std::size_t node = 0;
  base::Incarnation nodeIncarnation = 0;
  std::string tenant;
  /// Given by the node when it took the call; empty when it never did.
  base::RequestId requestId;
  std::string idempotencyKey;
  bool notRepeatable = false;
  /// A planned stop of the node began before the call was submitted.
  bool nodeDraining = false;
  base::TimePoint submittedAt;
  base::TimePoint endedAt;
  CallEnding ending = CallEnding::kOpen;
  /// Set with kRefused.
  request::Refusal refusal;
  /// Anything that the sink heard after its final call.
  std::uint32_t callsAfterEnd = 0;

  // Completions.
  std::string model;
  std::uint64_t promptHash = 0;
  std::uint32_t maximumTokens = 0;
  std::vector<ReceivedChunk> chunks;
  clients::StreamEnd end;

  // Proxied calls.
  std::string method;
  std::string target;
  /// Answer as it was received.
  base::RequestId answeredRequestId;
  std::string answerBody;
};

/// One attempt of a request that an engine accepted.
struct EngineExecution {
  emulator::ExecutionRecord record;
  base::TimePoint acceptedAt;
  /// Set when computation began.
  std::optional<base::TimePoint> startedAt;
  std::uint32_t localBlocks = 0;
  std::uint32_t importedBlocks = 0;
  std::vector<emulator::BlockProvenance> provenances;
};

/// A request that an engine refused at its door.
struct EngineRefusal {
  base::EngineId engine;
  base::RequestId requestId;
  base::TimePoint at;
};

struct ReplicaExecution {
  emulator::ApplicationExecution execution;
  base::TimePoint at;
};

/// A back end that began to leave.
struct LeaveRecord {
  base::EngineId backEnd;
  std::string name;
  base::TimePoint at;
};

/// A node's configuration when a sample differed from the one before.
struct ConfigurationSample {
  std::size_t node = 0;
  base::Incarnation incarnation = 0;
  base::TimePoint at;
  base::Revision revision = 0;
};

/// A template as one node has it in force, when a sample differed from the one before.
struct TemplateSample {
  std::size_t node = 0;
  base::Incarnation incarnation = 0;
  base::TimePoint at;
  std::string name;
  base::Revision revision = 0;
  bool retired = false;
  /// The field that workloads write a distinct number to with each change.
  std::uint32_t mark = 0;
};

/// One version of a template, as it was committed in the table service.
struct CommittedTemplate {
  std::string name;
  base::Revision revision = 0;
  std::string operationId;
  bool retired = false;
  std::uint32_t mark = 0;
  std::uint64_t cacheSalt = 0;
  /// When it was first seen there; at most one sampling period after the commit.
  base::TimePoint seenAt;
};

enum class OperatorCallKind : std::uint8_t { kCreate, kChange, kRetire };
enum class OperatorCallStatus : std::uint8_t {
  /// No answer came, or one that says so.
  kUnknown,
  kAccepted,
  kConflict,
  /// Refused with certainty that nothing changed.
  kNotDone,
};

/// One operator's change of a template. A call repeated because no certain answer came has the same
/// operation identifier.
struct OperatorCall {
  std::string name;
  OperatorCallKind kind = OperatorCallKind::kCreate;
  base::Revision expectedVersion = 0;
  std::string operationId;
  std::size_t node = 0;
  base::TimePoint invokedAt;
  std::optional<base::TimePoint> returnedAt;
  OperatorCallStatus status = OperatorCallStatus::kUnknown;
  /// Accepted version, or the one in force with kConflict.
  base::Revision version = 0;
  std::uint32_t mark = 0;
};

/// An order that reached an engine.
struct OrderRecord {
  base::EngineId engine;
  clients::EngineOrder order;
  clients::OrderReply reply;
  base::TimePoint at;
};

enum class NodeEventKind : std::uint8_t {
  kStarted,
  kReady,
  kFirstServed,
  kCrashed,
  kPaused,
  kResumed,
  kDrainBegan,
  kDrained,
};

struct NodeEvent {
  std::size_t node = 0;
  base::Incarnation incarnation = 0;
  NodeEventKind kind = NodeEventKind::kStarted;
  base::TimePoint at;
  /// Calls still open at the end of a planned stop.
  std::size_t openCalls = 0;
};

/// A log event of a node, kept for the explanation of violations and for measured times.
struct LoggedEvent {
  std::string node;
  base::Event event = base::Event::kNodeStarting;
  std::string detail;
  base::TimePoint at;
};

/// A fault that was brought about.
struct FaultRecord {
  std::string kind;
  std::string subject;
  base::TimePoint from;
  base::TimePoint to;
};

struct History {
  /// Names and zones of the nodes, by their index.
  std::vector<std::string> nodes;
  std::vector<std::string> nodeZones;
  std::vector<CallRecord> calls;
  std::vector<EngineExecution> executions;
  std::vector<EngineRefusal> engineRefusals;
  std::vector<ReplicaExecution> replicaExecutions;
  std::vector<LeaveRecord> leaves;
  std::vector<ConfigurationSample> configurations;
  std::vector<TemplateSample> templates;
  std::vector<CommittedTemplate> committed;
  std::vector<OperatorCall> operatorCalls;
  std::vector<OrderRecord> orders;
  /// Most weight loads that ran at once, and the limit under which they run at full speed.
  std::size_t peakLoads = 0;
  std::size_t loadSlots = 0;
  std::vector<NodeEvent> nodeEvents;
  std::vector<LoggedEvent> log;
  std::vector<FaultRecord> faults;
  base::TimePoint endedAt;

  /// Whether any fault was in effect at some time in [from, to].
  bool disturbed(base::TimePoint from, base::TimePoint to) const;
  /// End of the last fault that was in effect in [from, from + quiet], and of those that follow it
  /// without a quiet stretch of that length between; `from` when there was none. Only faults that
  /// `excuses` holds for are looked at.
  base::TimePoint calmAfter(base::TimePoint from, base::Duration quiet,
                            const std::function<bool(const FaultRecord&)>& excuses) const;
};

/// A number that depends on every record: equal histories have equal digests.
std::uint64_t digestOf(const History& history);

}  // namespace covewing::sim
