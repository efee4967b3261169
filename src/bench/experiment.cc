#include "bench/experiment.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "bench/oracle_policy.h"
#include "bench/workload.h"
#include "emulator/expected_answer.h"
#include "emulator/observer_list.h"
#include "sim/checkers.h"
#include "sim/fleet.h"
#include "sim/history_recorder.h"

namespace covewing::bench {

using base::Duration;
using base::ResultCode;
using base::TimePoint;

namespace {

constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kApplicationReplicas = 3;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kNanosecondsPerMicrosecond = 1e3;
/// Time from the start of the fleet to the start of the workload, in which the nodes load their
/// configuration and discover the engines.
constexpr Duration kStartTime = std::chrono::seconds(4);
/// Time that the run continues after the end of the workload, for responses still in progress.
constexpr Duration kDrainTime = std::chrono::seconds(20);

Duration fromSeconds(double seconds) {
  return Duration{static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond)};
}

Duration fromMilliseconds(double milliseconds) { return fromSeconds(milliseconds / 1000.0); }

/// True for the codes of refusals for lack of capacity.
bool isCapacityRefusal(ResultCode code) {
  switch (code) {
    case ResultCode::kShed:
    case ResultCode::kDeadlineUnreachable:
    case ResultCode::kHoldExpired:
    case ResultCode::kNodeOverloaded:
      return true;
    default:
      return false;
  }
}

/// Totals over all nodes at one time. The report is computed from the difference of two readings.
struct ResourceReading {
  std::uint64_t controlBytes = 0;
  std::uint64_t cpuNanoseconds = 0;
};

/// Receives the results of calls. `after` is the time since the call was made.
class CallRecorder {
 public:
  virtual ~CallRecorder() = default;
  virtual void onFirstChunk(const Arrival& arrival, Duration after) = 0;
  virtual void onAnswered(const Arrival& arrival, Duration after) = 0;
  virtual void onRefused(const Arrival& arrival, const request::Refusal& refusal) = 0;
  virtual void onFailed(const Arrival& arrival) = 0;
};

/// Base of completion calls and proxied calls: measures times and fills in the record that the
/// checkers read.
class RecordedCall {
 public:
  RecordedCall(const Arrival& arrival, std::size_t record, sim::HistoryRecorder& history,
               const sim::Scheduler& scheduler, CallRecorder& recorder)
      : arrival_(arrival),
        record_(record),
        history_(history),
        scheduler_(scheduler),
        recorder_(recorder),
        startedAt_(scheduler.now()) {}

 protected:
  sim::CallRecord& record() { return history_.history().calls[record_]; }
  Duration elapsed() const { return scheduler_.now() - startedAt_; }
  void recordAccepted(const base::RequestId& id, base::Incarnation incarnation) {
    record().requestId = id;
    record().nodeIncarnation = incarnation;
  }
  /// Records the end of the call. Returns false if the call had already ended, and counts that as a
  /// callback after the end.
  bool endCall(sim::CallEnding ending) {
    sim::CallRecord& call = record();
    if (call.ending != sim::CallEnding::kOpen) {
      ++call.callsAfterEnd;
      return false;
    }
    call.ending = ending;
    call.endedAt = scheduler_.now();
    return true;
  }

  const Arrival& arrival_;

 private:
  std::size_t record_;
  sim::HistoryRecorder& history_;
  const sim::Scheduler& scheduler_;

 protected:
  CallRecorder& recorder_;

 private:
  TimePoint startedAt_;
};

class CompletionCall final : public RecordedCall, public sim::CompletionCaller {
 public:
  using RecordedCall::RecordedCall;
  void onTaken(const base::RequestId& id, base::Incarnation incarnation) override {
    recordAccepted(id, incarnation);
  }
  void onChunk(const clients::StreamChunk& chunk) override {
    if (record().ending != sim::CallEnding::kOpen) ++record().callsAfterEnd;
    if (record().chunks.empty()) recorder_.onFirstChunk(arrival_, elapsed());
    record().chunks.push_back({chunk.position, chunk.text});
  }
  void onEnd(const clients::StreamEnd& streamEnd) override {
    if (!endCall(sim::CallEnding::kComplete)) return;
    record().end = streamEnd;
    recorder_.onAnswered(arrival_, elapsed());
  }
  void onRefused(const request::Refusal& refusal) override {
    if (!endCall(sim::CallEnding::kRefused)) return;
    record().refusal = refusal;
    const bool started = !record().chunks.empty();
    started ? recorder_.onFailed(arrival_) : recorder_.onRefused(arrival_, refusal);
  }
  void onNodeLost() override {
    if (endCall(sim::CallEnding::kNodeLost)) recorder_.onFailed(arrival_);
  }
};

class ProxiedCall final : public RecordedCall, public sim::ProxiedCaller {
 public:
  using RecordedCall::RecordedCall;
  void onTaken(const base::RequestId& id, base::Incarnation incarnation) override {
    recordAccepted(id, incarnation);
  }
  void onResponse(const clients::ApplicationResponse& response) override {
    if (!endCall(sim::CallEnding::kComplete)) return;
    record().answeredRequestId = response.requestId;
    record().answerBody = response.body;
    recorder_.onAnswered(arrival_, elapsed());
  }
  void onRefused(const request::Refusal& refusal) override {
    if (!endCall(sim::CallEnding::kRefused)) return;
    record().refusal = refusal;
    recorder_.onRefused(arrival_, refusal);
  }
  void onNodeLost() override {
    if (endCall(sim::CallEnding::kNodeLost)) recorder_.onFailed(arrival_);
  }
};

class Experiment final : public CallRecorder {
 public:
  explicit Experiment(const ExperimentOptions& options);
  ExperimentResult run();

  void onFirstChunk(const Arrival& arrival, Duration after) override;
  void onAnswered(const Arrival& arrival, Duration after) override;
  void onRefused(const Arrival& arrival, const request::Refusal& refusal) override;
  void onFailed(const Arrival& arrival) override;

 private:
  // Building the fleet.
  Workload drawWorkload() const;
  sim::FleetOptions fleetOptions();
  void addNodes(sim::FleetOptions& fleet) const;
  void addEngines(sim::FleetOptions& fleet) const;
  void addApplications(sim::FleetOptions& fleet) const;
  sim::Location location(std::size_t index) const;
  std::vector<base::EngineId> engineIds() const;
  void makeOracle();

  // Running the workload.
  void scheduleNextArrival();
  void start(const Arrival& arrival);
  /// Adds the call's record for the checkers and returns its index.
  std::size_t addRecord(const Arrival& arrival, std::size_t node);
  void scheduleMeasuring();
  void scheduleCrashes();
  ResourceReading readResources();

  // Results.
  bool isMeasured(const Arrival& arrival) const;
  template <class Change>
  void count(const Arrival& arrival, Change change);
  void recordShift(const Arrival& arrival, Duration after);
  void finishResult();
  void countViolations();

  std::size_t engineCount() const { return static_cast<std::size_t>(settings_.engines); }
  std::size_t nodesPerZone() const { return static_cast<std::size_t>(settings_.nodesPerZone); }

  ExperimentOptions options_;
  const ScenarioSettings& settings_;
  Duration warmup_;
  Duration measuredTime_;
  Duration shiftAt_;
  Workload workload_;
  CacheGroundTruth truth_;
  sim::HistoryRecorder recorder_;
  emulator::ObserverList observers_;
  std::unique_ptr<OracleKnowledge> oracle_;
  std::unique_ptr<sim::Fleet> fleet_;
  std::vector<std::unique_ptr<sim::CompletionCaller>> completions_;
  std::vector<std::unique_ptr<sim::ProxiedCaller>> proxied_;
  std::size_t nextArrival_ = 0;
  TimePoint startedAt_;
  ResourceReading before_;
  ResourceReading after_;
  std::map<int, Quantiles> shiftSeconds_;
  ExperimentResult result_;
};

Experiment::Experiment(const ExperimentOptions& options)
    : options_(options),
      settings_(options_.scenario.settings),
      warmup_(fromSeconds(settings_.warmupSeconds)),
      measuredTime_(fromSeconds(settings_.measuredSeconds)),
      shiftAt_(settings_.shiftAfterSeconds > 0 ? warmup_ + fromSeconds(settings_.shiftAfterSeconds)
                                               : Duration::zero()),
      workload_(drawWorkload()),
      truth_(engineIds()) {
  result_.options = options_;
  fleet_ = std::make_unique<sim::Fleet>(fleetOptions());
  if (options_.policy == kOraclePolicy) makeOracle();
}

Workload Experiment::drawWorkload() const {
  WorkloadOptions workload;
  workload.seed = options_.seed;
  workload.duration = warmup_ + measuredTime_;
  workload.load = settings_.load;
  workload.lowerLoad = settings_.lowerLoad;
  workload.shiftAt = shiftAt_;
  workload.zones = kZones;
  return options_.scenario.fleet == FleetKind::kTournaments ? drawTournaments(workload)
                                                            : drawMarkets(workload);
}

sim::Location Experiment::location(std::size_t index) const {
  const std::string region =
      options_.scenario.fleet == FleetKind::kTournaments ? "vn-south" : "brno-south";
  return {region + "-" + std::to_string(index % kZones + 1), region};
}

std::vector<base::EngineId> Experiment::engineIds() const {
  std::vector<base::EngineId> ids;
  for (std::size_t index = 0; index < engineCount(); ++index) {
    ids.push_back(base::engineIdOf(workload_.model + "-" + std::to_string(index)));
  }
  return ids;
}

sim::FleetOptions Experiment::fleetOptions() {
  sim::FleetOptions fleet;
  fleet.seed = options_.seed;
  fleet.network.sameRegion.oneWay = fromMilliseconds(settings_.zoneLatencyMilliseconds);
  fleet.network.sameRegion.loss = settings_.datagramLoss;
  fleet.chunksPerMessage = static_cast<std::size_t>(settings_.chunksPerMessage);
  fleet.measureCpu = true;
  observers_.add(truth_);
  observers_.add(recorder_);
  fleet.observer = &observers_;
  if (settings_.keptCacheBlocks > 0) {
    fleet.platform.keptCache.emplace();
    fleet.platform.keptCache->capacityBlocks =
        static_cast<std::uint32_t>(settings_.keptCacheBlocks);
  } else {
    fleet.platform.keptCache.reset();
  }
  addNodes(fleet);
  addEngines(fleet);
  addApplications(fleet);
  for (const WorkloadTenant& tenant : workload_.tenants) {
    fleet.templates.push_back({tenant.name, tenant.document, tenant.cacheSalt});
  }
  return fleet;
}

void Experiment::addNodes(sim::FleetOptions& fleet) const {
  for (std::size_t index = 0; index < kZones * nodesPerZone(); ++index) {
    fleet.nodes.push_back({"node-" + std::to_string(index), location(index)});
  }
  if (options_.policy == kOraclePolicy) {
    fleet.node.makePolicy = [this](const engine_routing::FleetView& view) {
      return std::make_unique<OraclePolicy>(*oracle_, view);
    };
  } else {
    fleet.node.routingPolicy = options_.policy;
  }
}

void Experiment::addEngines(sim::FleetOptions& fleet) const {
  for (std::size_t index = 0; index < engineCount(); ++index) {
    sim::EnginePlacement engine;
    engine.location = location(index);
    engine.model.name = workload_.model + "-" + std::to_string(index);
    engine.model.capacityBlocks = static_cast<std::uint32_t>(settings_.engineBlocks);
    engine.model.loadReportPeriod = fromMilliseconds(settings_.loadReportMilliseconds);
    engine.model.cacheEvents.delay = fromMilliseconds(settings_.eventDelayMilliseconds);
    engine.model.cacheEvents.lossRate = settings_.eventLoss;
    engine.model.weights = {{workload_.model, 1, {}}};
    fleet.engines.push_back(std::move(engine));
  }
}

void Experiment::addApplications(sim::FleetOptions& fleet) const {
  for (std::size_t index = 0; index < kApplicationReplicas; ++index) {
    sim::ApplicationPlacement replica;
    replica.location = location(index);
    replica.model.name = workload_.application + "-" + std::to_string(index);
    replica.model.application = workload_.application;
    fleet.applications.push_back(std::move(replica));
  }
}

void Experiment::makeOracle() {
  std::vector<OracleEngine> engines;
  for (std::size_t index = 0; index < fleet_->engineCount(); ++index) {
    const auto& model = fleet_->options().engines[index].model;
    engines.push_back({&fleet_->engine(index).model(), model.step, model.prefillTokensPerStep});
  }
  const auto store = fleet_->options().platform.keptCache;
  oracle_ = std::make_unique<OracleKnowledge>(
      OracleOptions{settings_.oracleComputeWeight}, fleet_->scheduler(), std::move(engines),
      fleet_->keptCacheStore(), store.value_or(emulator::KeptCacheStoreOptions{}));
  truth_.setOnAccepted([this](const emulator::ExecutionRecord& record) {
    oracle_->onAccepted(record.engine, record.requestId);
  });
}

ExperimentResult Experiment::run() {
  recorder_.attach(*fleet_);
  fleet_->start();
  fleet_->runFor(kStartTime);
  startedAt_ = fleet_->scheduler().now();
  scheduleMeasuring();
  scheduleCrashes();
  scheduleNextArrival();
  fleet_->runFor(warmup_ + measuredTime_ + kDrainTime);
  finishResult();
  return std::move(result_);
}

void Experiment::scheduleMeasuring() {
  sim::Scheduler& scheduler = fleet_->scheduler();
  scheduler.at(startedAt_ + warmup_, [this] {
    truth_.setMeasuring(true);
    before_ = readResources();
  });
  scheduler.at(startedAt_ + warmup_ + measuredTime_, [this] {
    truth_.setMeasuring(false);
    after_ = readResources();
  });
}

void Experiment::scheduleCrashes() {
  if (settings_.crashEverySeconds <= 0) return;
  const Duration period = fromSeconds(settings_.crashEverySeconds);
  std::size_t index = 0;
  for (Duration at = period; at < measuredTime_; at += period) {
    sim::EngineHost& engine = fleet_->engine(index++ % fleet_->engineCount());
    const TimePoint crashAt = startedAt_ + warmup_ + at;
    fleet_->scheduler().at(crashAt, [this, &engine] {
      recorder_.noteFault("engine crash", engine.options().model.name,
                          fromSeconds(settings_.crashDownSeconds));
      engine.crash();
    });
    fleet_->scheduler().at(crashAt + fromSeconds(settings_.crashDownSeconds),
                           [&engine] { engine.restart(); });
  }
}

ResourceReading Experiment::readResources() {
  ResourceReading reading;
  for (std::size_t index = 0; index < fleet_->nodeCount(); ++index) {
    const sim::NodeHost& node = fleet_->node(index);
    const sim::TrafficCount& traffic = fleet_->network().traffic(node.host());
    reading.controlBytes += traffic.controlSent() + traffic.controlReceived();
    reading.cpuNanoseconds += node.process().cpuUse().nanoseconds;
  }
  return reading;
}

void Experiment::scheduleNextArrival() {
  if (nextArrival_ >= workload_.arrivals.size()) return;
  const Arrival& arrival = workload_.arrivals[nextArrival_++];
  fleet_->scheduler().at(startedAt_ + arrival.at, [this, &arrival] {
    scheduleNextArrival();
    start(arrival);
  });
}

void Experiment::start(const Arrival& arrival) {
  const std::size_t node = arrival.zone + kZones * (arrival.nodeDraw % nodesPerZone());
  sim::NodeHost& host = fleet_->node(node);
  const WorkloadTenant& tenant = workload_.tenants[arrival.tenant];
  count(arrival, [](CallCounts& counts) { ++counts.requests; });
  const std::size_t record = addRecord(arrival, node);
  if (!arrival.method.empty()) {
    request::ProxiedRequest request;
    request.bearerKey = tenant.bearerKey;
    request.method = arrival.method;
    request.target = arrival.target;
    request.body = arrival.body;
    request.idempotencyKey = arrival.idempotencyKey;
    request.notRepeatable = arrival.notRepeatable;
    proxied_.push_back(
        std::make_unique<ProxiedCall>(arrival, record, recorder_, fleet_->scheduler(), *this));
    host.proxy(std::move(request), *proxied_.back());
    return;
  }
  request::CompletionRequest request;
  request.bearerKey = tenant.bearerKey;
  request.model = workload_.model;
  request.priority = arrival.priority;
  request.maximumTokens = arrival.maximumTokens;
  auto prompt = std::make_shared<std::string>();
  prompt->reserve(static_cast<std::size_t>(arrival.promptTokens()) * prefix::kBytesPerToken);
  for (const PromptSegment& segment : arrival.prompt) prompt->append(*segment);
  recorder_.history().calls[record].promptHash = emulator::promptHash(*prompt);
  request.prompt = std::move(prompt);
  completions_.push_back(
      std::make_unique<CompletionCall>(arrival, record, recorder_, fleet_->scheduler(), *this));
  host.complete(std::move(request), *completions_.back());
}

std::size_t Experiment::addRecord(const Arrival& arrival, std::size_t node) {
  std::vector<sim::CallRecord>& calls = recorder_.history().calls;
  sim::CallRecord& record = calls.emplace_back();
  record.number = calls.size();
  record.node = node;
  record.nodeIncarnation = fleet_->node(node).process().incarnation();
  record.tenant = workload_.tenants[arrival.tenant].name;
  record.submittedAt = fleet_->scheduler().now();
  record.proxied = !arrival.method.empty();
  record.method = arrival.method;
  record.target = arrival.target;
  record.idempotencyKey = arrival.idempotencyKey;
  record.notRepeatable = arrival.notRepeatable;
  record.model = workload_.model;
  record.maximumTokens = arrival.maximumTokens;
  return calls.size() - 1;
}

bool Experiment::isMeasured(const Arrival& arrival) const {
  return arrival.at >= warmup_ && arrival.at < warmup_ + measuredTime_;
}

template <class Change>
void Experiment::count(const Arrival& arrival, Change change) {
  if (!isMeasured(arrival)) return;
  change(result_.all);
  change(result_.classes.at(static_cast<std::size_t>(arrival.priority)));
  change(result_.labels[arrival.label]);
}

void Experiment::onFirstChunk(const Arrival& arrival, Duration after) {
  count(arrival,
        [after](CallCounts& counts) { counts.firstToken.add(base::toMilliseconds(after)); });
  recordShift(arrival, after);
}

void Experiment::recordShift(const Arrival& arrival, Duration after) {
  if (shiftAt_ == Duration::zero() || arrival.label != "ruling") return;
  const auto second =
      static_cast<int>(std::chrono::floor<std::chrono::seconds>(arrival.at - shiftAt_).count());
  shiftSeconds_[second].add(base::toMilliseconds(after));
}

void Experiment::onAnswered(const Arrival& arrival, Duration after) {
  count(arrival, [&](CallCounts& counts) {
    ++counts.answered;
    if (!arrival.method.empty()) counts.answer.add(base::toMilliseconds(after));
  });
}

void Experiment::onRefused(const Arrival& arrival, const request::Refusal& refusal) {
  const bool capacityRefusal = isCapacityRefusal(refusal.reason.code);
  bool lowerRan = false;
  for (std::size_t lower = static_cast<std::size_t>(arrival.priority) + 1;
       lower < base::kPriorityClassCount; ++lower) {
    lowerRan = lowerRan || truth_.running(static_cast<base::PriorityClass>(lower)) > 0;
  }
  count(arrival, [&](CallCounts& counts) {
    ++counts.refused;
    if (capacityRefusal) ++counts.shed;
    if (capacityRefusal && lowerRan) ++counts.refusedWhileLowerRan;
  });
  if (isMeasured(arrival)) ++result_.refusals[refusal.reason.code];
}

void Experiment::onFailed(const Arrival& arrival) {
  count(arrival, [](CallCounts& counts) { ++counts.failed; });
}

void Experiment::finishResult() {
  result_.reuse = truth_.totals();
  const double seconds = base::toSeconds(measuredTime_);
  const auto nodes = static_cast<double>(fleet_->nodeCount());
  const auto control = static_cast<double>(after_.controlBytes - before_.controlBytes);
  result_.controlBytesPerNodeSecond = control / nodes / seconds;
  const auto cpu = static_cast<double>(after_.cpuNanoseconds - before_.cpuNanoseconds);
  const auto requests = static_cast<double>(std::max<std::uint64_t>(1, result_.all.requests));
  result_.cpuMicrosecondsPerRequest = cpu / kNanosecondsPerMicrosecond / requests;
  const emulator::EngineModelOptions& engine = fleet_->options().engines.front().model;
  const auto prefilled = static_cast<double>(result_.reuse.prefilled);
  const double steps = prefilled / engine.prefillTokensPerStep;
  const double work = prefilled * base::toSeconds(engine.step.perPrefillToken) +
                      steps * base::toSeconds(engine.step.base) +
                      static_cast<double>(result_.reuse.generated) *
                          base::toSeconds(engine.step.perDecodingSequence);
  result_.engineLoad = work / seconds / static_cast<double>(engineCount());
  countViolations();
  for (auto& [second, sample] : shiftSeconds_) {
    result_.shift.push_back({second, sample.count(), sample.mean()});
  }
}

void Experiment::countViolations() {
  recorder_.finish();
  for (std::size_t index = 0; index < sim::kPromiseCount; ++index) {
    const std::string_view name = sim::toString(static_cast<sim::Promise>(index));
    result_.violations.push_back({std::string(name), 0});
  }
  for (const sim::Violation& violation : sim::checkAll(recorder_.history(), {})) {
    ++result_.violations.at(static_cast<std::size_t>(violation.promise)).count;
  }
}

}  // namespace

ExperimentResult runExperiment(const ExperimentOptions& options) {
  return Experiment(options).run();
}

}  // namespace covewing::bench
