#include "coordination/order_executor.h"

#include <algorithm>
#include <utility>

namespace covewing::coordination {

namespace {

/// Delay by which reports that arrive together are processed together.
constexpr base::Duration kAdvanceDelay = std::chrono::milliseconds(5);

const CatalogueEngine* findEngine(const std::vector<CatalogueEngine>& catalogue,
                                  const std::string& name) {
  const auto found = std::ranges::find_if(
      catalogue, [&name](const CatalogueEngine& engine) { return engine.address.name == name; });
  return found == catalogue.end() ? nullptr : &*found;
}

std::uint32_t requestsOf(const clients::EngineLoad& load) {
  std::uint32_t requests = load.running;
  for (const std::uint32_t waiting : load.waiting) requests += waiting;
  return requests;
}

/// Whether the two states are the same for operators and for the next holder.
bool sameProgress(const Order& left, const Order& right) {
  if (left.state != right.state || left.detail != right.detail) return false;
  return std::ranges::equal(left.steps, right.steps, [](const auto& one, const auto& other) {
    return one.state == other.state && one.detail == other.detail &&
           one.incarnation == other.incarnation;
  });
}

std::uint32_t loadSlotsOf(const Order& order) {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      order.steps, [](const OrderStep& step) { return usesLoadSlot(step.state); }));
}

}  // namespace

OrderExecutor::OrderExecutor(OrderExecutorOptions options, OrderExecutorEnvironment environment,
                             GrantSource grant)
    : options_(std::move(options)),
      environment_(std::move(environment)),
      grant_(std::move(grant)) {}

OrderExecutor::~OrderExecutor() {
  environment_.timers.cancel(tickTimer_);
  environment_.timers.cancel(advanceTimer_);
}

/// Wraps a callback so that it does nothing after this tenure.
template <class Handler>
auto OrderExecutor::guarded(Handler handler) {
  return [alive = std::weak_ptr<bool>(lifetime_), handler = std::move(handler)](auto&&... values) {
    if (!alive.expired()) handler(std::forward<decltype(values)>(values)...);
  };
}

void OrderExecutor::start() {
  stop();
  running_ = true;
  lifetime_ = std::make_shared<bool>(true);
  scan();
  scheduleTick();
}

void OrderExecutor::stop() {
  running_ = false;
  scanComplete_ = false;
  scanInFlight_ = false;
  rescanRequested_ = false;
  scannedUpTo_ = 0;
  lifetime_.reset();
  orders_.clear();
  queue_.clear();
  finished_.clear();
  engines_.clear();
  environment_.timers.cancel(tickTimer_);
  environment_.timers.cancel(std::exchange(advanceTimer_, 0));
}

void OrderExecutor::onOrdersChanged() {
  if (running_) scan();
}

std::size_t OrderExecutor::openOrders() const { return queue_.size(); }

bool OrderExecutor::hasOpenOrders() const { return !queue_.empty(); }

void OrderExecutor::scheduleTick() {
  environment_.timers.cancel(tickTimer_);
  tickTimer_ = environment_.timers.schedule(options_.tickInterval, guarded([this] { tick(); }));
}

void OrderExecutor::tick() {
  scheduleTick();
  commitsLeft_ = options_.commitsPerTick;
  if (environment_.clock.now() >= nextScanAt_) scan();
  if (!scanComplete_ || !hasOpenOrders()) return;
  pollEngines(environment_.catalogue.engines());
  advanceAll();
}

void OrderExecutor::advanceSoon() {
  if (advanceTimer_ != 0) return;
  advanceTimer_ = environment_.timers.schedule(kAdvanceDelay, guarded([this] {
                                                 advanceTimer_ = 0;
                                                 advanceAll();
                                               }));
}

void OrderExecutor::advanceAll() {
  if (!scanComplete_ || !grant_() || !hasOpenOrders()) return;
  const std::vector<CatalogueEngine> catalogue = environment_.catalogue.engines();
  // A copy, because finished orders are removed from the queue.
  const std::vector<std::string> open = queue_;
  for (const std::string& id : open) advance(orders_.at(id), catalogue);
}

// --- reading the orders

void OrderExecutor::scan() {
  if (scanInFlight_) {
    rescanRequested_ = true;
    return;
  }
  scanInFlight_ = true;
  rescanRequested_ = false;
  nextScanAt_ = environment_.clock.now() + options_.scanInterval;
  environment_.table.scan(orderPrefix(options_.region), scannedUpTo_, options_.scanLimit,
                          guarded([this](const clients::TableReply& reply) {
                            scanInFlight_ = false;
                            onScan(reply);
                          }));
}

void OrderExecutor::onScan(const clients::TableReply& reply) {
  if (reply.status != clients::TableStatus::kOk)
    return;  // repeated by the next tick after nextScanAt_
  for (const clients::TableRow& row : reply.rows) applyRow(row);
  scannedUpTo_ = std::max(scannedUpTo_, reply.revision);
  if (reply.rows.size() >= options_.scanLimit || rescanRequested_) return scan();
  scanComplete_ = true;
  removeOldOrders();
  advanceSoon();
}

void OrderExecutor::applyRow(const clients::TableRow& row) {
  base::Reason ignored;
  auto order = parseOrder(row.value, row.revision, ignored);
  if (order) applyOrder(std::move(*order));
}

void OrderExecutor::applyOrder(Order order) {
  const auto known = orders_.find(order.id);
  if (known != orders_.end()) {
    if (order.revision > known->second.order.revision) adopt(known->second, std::move(order));
    return;
  }
  if (isFinal(order.state)) {
    finished_[order.revision] = order.id;
    return;
  }
  const std::string id = order.id;
  queue_.push_back(id);
  adopt(orders_[id], std::move(order));
}

/// Removes all but the newest finished orders, in one transaction per scan.
void OrderExecutor::removeOldOrders() {
  const auto grant = grant_();
  if (!grant || finished_.size() <= options_.maximumFinishedOrders) return;
  clients::TableTransaction transaction;
  transaction.conditions.push_back({coordinatorTenureKey(options_.region), grant->tenureRevision});
  while (finished_.size() > options_.maximumFinishedOrders) {
    transaction.writes.push_back(
        {orderKey(options_.region, finished_.begin()->second), std::nullopt});
    finished_.erase(finished_.begin());
  }
  // The reply does not matter: rows that were not removed are found again by the next holder.
  environment_.table.commit(std::move(transaction), [](const clients::TableReply&) {});
}

// --- engines

std::vector<std::string> OrderExecutor::enginesToPoll() const {
  std::vector<std::string> names;
  for (const std::string& id : queue_) {
    std::uint32_t waiting = 0;
    for (const OrderStep& step : orders_.at(id).order.steps) {
      if (isFinal(step.state)) continue;
      const bool next = step.state == StepState::kWaiting && waiting++ >= options_.limits.loadSlots;
      if (!next) names.push_back(step.engine);
    }
  }
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

void OrderExecutor::pollEngines(const std::vector<CatalogueEngine>& catalogue) {
  for (const std::string& name : enginesToPoll()) {
    const CatalogueEngine* engine = findEngine(catalogue, name);
    if (engine != nullptr) poll(name, engine->address);
  }
}

void OrderExecutor::poll(const std::string& name, const clients::BackEndAddress& address) {
  EngineRecord& record = engines_[name];
  if (record.pollInFlight) return;
  record.pollInFlight = true;
  environment_.engines.poll(
      address, record.nextSequence,
      guarded([this, name](const std::optional<clients::EngineReport>& report) {
        onReport(name, report);
      }));
}

void OrderExecutor::onReport(const std::string& name,
                             const std::optional<clients::EngineReport>& report) {
  EngineRecord& record = engines_[name];
  record.pollInFlight = false;
  if (!report) return;
  record.nextSequence = report->nextSequence;
  record.observedAt = environment_.clock.now();
  record.observation = EngineObservation{.incarnation = report->incarnation,
                                         .role = report->role,
                                         .leaving = report->leaving,
                                         .weights = report->weights,
                                         .requests = requestsOf(report->load)};
  advanceSoon();
}

// --- advancing orders

void OrderExecutor::advance(OpenOrder& open, const std::vector<CatalogueEngine>& catalogue) {
  if (open.pending) return;
  if (!isSettling(open.order)) {
    open.settlingSince.reset();
  } else if (!open.settlingSince) {
    open.settlingSince = environment_.clock.now();
  }
  Order next = open.order;
  advanceOrder(next, contextFor(open, catalogue));
  if (sameProgress(open.order, next)) return sendOrders(open, catalogue);
  if (commitsLeft_ == 0) return;
  --commitsLeft_;
  recordStepChanges(open, next);
  open.pending = std::move(next);
  commit(open.order.id);
}

ProgressContext OrderExecutor::contextFor(const OpenOrder& open,
                                          const std::vector<CatalogueEngine>& catalogue) const {
  ProgressContext context;
  context.limits = options_.limits;
  std::map<std::string, bool> loadingElsewhere;
  bool earlier = true;
  for (const std::string& id : queue_) {
    const Order& other = orders_.at(id).latest();
    if (id == open.order.id) {
      earlier = false;
      continue;
    }
    context.slotsInUse += loadSlotsOf(other);
    for (const OrderStep& step : other.steps) {
      if (usesLoadSlot(step.state)) loadingElsewhere[step.engine] = true;
      const bool blocks = !isFinal(step.state) && (earlier || isActive(step.state));
      if (blocks) context.blockedEngines.emplace(step.engine, id);
    }
  }
  for (const CatalogueEngine& engine : catalogue) {
    const bool serves = engine.region == options_.region && !engine.leaving &&
                        !engine.unreachable && engine.role == clients::EngineRole::kServing &&
                        !loadingElsewhere.contains(engine.address.name);
    if (serves) context.servingEngines.push_back(engine);
  }
  for (std::size_t step = 0; step < open.order.steps.size(); ++step) {
    context.evidence[open.order.steps[step].engine] = evidenceFor(open, step, catalogue);
  }
  if (open.settlingSince) context.settledFor = environment_.clock.now() - *open.settlingSince;
  return context;
}

StepEvidence OrderExecutor::evidenceFor(const OpenOrder& open, std::size_t step,
                                        const std::vector<CatalogueEngine>& catalogue) const {
  const base::TimePoint now = environment_.clock.now();
  const std::string& name = open.order.steps[step].engine;
  const StepClock& clock = open.clocks[step];
  StepEvidence evidence;
  evidence.listed = findEngine(catalogue, name) != nullptr;
  evidence.refusal = clock.refusal;
  evidence.timeInState = now - clock.enteredAt;
  const auto record = engines_.find(name);
  if (record == engines_.end() || !record->second.observation) return evidence;
  const base::Duration age = now - record->second.observedAt;
  if (age <= options_.reportValidity) evidence.observation = record->second.observation;
  if (!isActive(clock.state)) evidence.timeInState = std::min(evidence.timeInState, age);
  return evidence;
}

void OrderExecutor::recordStepChanges(const OpenOrder& open, Order& next) const {
  const base::TimePoint now = environment_.clock.now();
  for (std::size_t index = 0; index < next.steps.size(); ++index) {
    OrderStep& step = next.steps[index];
    const StepState before = open.order.steps[index].state;
    if (step.state == before) continue;
    step.executor = environment_.nodeName;
    if (before != StepState::kWaiting) step.elapsed += now - open.clocks[index].enteredAt;
  }
}

void OrderExecutor::commit(const std::string& id) {
  OpenOrder& open = orders_.at(id);
  const auto grant = grant_();
  if (!grant) {
    open.pending.reset();
    return;
  }
  open.pending->nonce = environment_.random.next();
  open.pending->token = grant->token;
  clients::TableTransaction transaction;
  const std::string key = orderKey(options_.region, id);
  transaction.conditions = {{key, open.pending->revision},
                            {coordinatorTenureKey(options_.region), grant->tenureRevision}};
  transaction.writes.push_back({key, encodeOrder(*open.pending)});
  environment_.table.commit(
      std::move(transaction),
      guarded([this, id](const clients::TableReply& reply) { onCommit(id, reply); }));
}

void OrderExecutor::onCommit(const std::string& id, const clients::TableReply& reply) {
  const auto open = orders_.find(id);
  if (open == orders_.end() || !open->second.pending) return;
  if (reply.status == clients::TableStatus::kUnknown) return readBack(id);
  Order next = *std::exchange(open->second.pending, std::nullopt);
  if (reply.status == clients::TableStatus::kOk) {
    next.revision = reply.revision;
    adopt(open->second, std::move(next));
    return advanceSoon();
  }
  // A cancelled order has a newer row, which the reply to the conflict contains.
  if (reply.status != clients::TableStatus::kConflict) return;
  for (const clients::TableRow& row : reply.rows) {
    if (row.key == orderKey(options_.region, id)) applyRow(row);
  }
}

/// Determines from the row whether the write whose reply was lost took effect. It may still be in
/// flight, so the pending state is written again until one of the two writes is confirmed; its load
/// slots stay in use until then.
void OrderExecutor::readBack(const std::string& id) {
  environment_.table.read(
      {orderKey(options_.region, id)},
      guarded([this, id](const clients::TableReply& reply) { onReadBack(id, reply); }));
}

void OrderExecutor::retryReadBack(const std::string& id) {
  environment_.timers.schedule(options_.tickInterval, guarded([this, id] { readBack(id); }));
}

void OrderExecutor::onReadBack(const std::string& id, const clients::TableReply& reply) {
  const auto open = orders_.find(id);
  if (open == orders_.end() || !open->second.pending) return;
  if (reply.status != clients::TableStatus::kOk) return retryReadBack(id);
  const bool unchanged =
      !reply.rows.empty() && reply.rows.front().revision == open->second.order.revision;
  if (unchanged) return commit(id);
  open->second.pending.reset();
  for (const clients::TableRow& row : reply.rows) applyRow(row);
}

/// Adopts a newer state of the row; steps whose state did not change keep their clocks.
void OrderExecutor::adopt(OpenOrder& open, Order order) {
  const base::TimePoint now = environment_.clock.now();
  open.clocks.resize(order.steps.size());
  for (std::size_t index = 0; index < order.steps.size(); ++index) {
    StepClock& clock = open.clocks[index];
    const bool isNew = open.order.steps.size() != order.steps.size();
    if (!isNew && clock.state == order.steps[index].state) continue;
    clock = StepClock{.state = order.steps[index].state,
                      .enteredAt = now,
                      .startedAt = now,
                      .sentAt = std::nullopt,
                      .refusal = {}};
  }
  open.order = std::move(order);
  if (!isFinal(open.order.state)) return;
  logFinish(open.order);
  const std::string id = open.order.id;
  finished_[open.order.revision] = id;
  std::erase(queue_, id);
  orders_.erase(id);
}

void OrderExecutor::logFinish(const Order& order) {
  const base::Event event =
      order.state == OrderState::kFailed ? base::Event::kOrderFailed : base::Event::kOrderFinished;
  environment_.log.write(event, {{"order", order.id},
                                 {"state", std::string(toString(order.state))},
                                 {"detail", order.detail}});
}

// --- engine orders

void OrderExecutor::sendOrders(OpenOrder& open, const std::vector<CatalogueEngine>& catalogue) {
  const base::TimePoint now = environment_.clock.now();
  for (std::size_t index = 0; index < open.order.steps.size(); ++index) {
    const OrderStep& step = open.order.steps[index];
    if (!isActive(step.state)) continue;
    StepClock& clock = open.clocks[index];
    if (clock.sentAt && now - *clock.sentAt < options_.resendInterval) continue;
    const CatalogueEngine* engine = findEngine(catalogue, step.engine);
    // Checked for each order, because the lease may have expired since the previous one.
    const auto grant = grant_();
    if (engine == nullptr || !grant) continue;
    send(open, index, engine->address, *grant);
  }
}

void OrderExecutor::send(OpenOrder& open, std::size_t index, const clients::BackEndAddress& engine,
                         const LeaseGrant& grant) {
  const OrderStep& step = open.order.steps[index];
  StepClock& clock = open.clocks[index];
  for (clients::EngineOrder& order : engineOrdersFor(open.order, step, grant.token)) {
    if (!clock.sentAt) {
      environment_.log.write(base::Event::kOrderStarted,
                             {{"order", open.order.id},
                              {"engine", step.engine},
                              {"step", std::string(toString(step.state))},
                              {"token", std::to_string(grant.token)}});
    }
    const std::string id = open.order.id;
    const std::string name = step.engine;
    const std::string engineOrderId = order.orderId;
    environment_.engines.order(
        engine, std::move(order),
        guarded([this, id, name, engineOrderId](const clients::OrderReply& reply) {
          onOrderReply(id, name, engineOrderId, reply);
        }));
  }
  clock.sentAt = environment_.clock.now();
}

void OrderExecutor::onOrderReply(const std::string& id, const std::string& engine,
                                 const std::string& engineOrderId,
                                 const clients::OrderReply& reply) {
  if (reply.status == clients::OrderStatus::kFencedOff) {
    environment_.log.write(
        base::Event::kOrderFenced,
        {{"order", engineOrderId}, {"token", std::to_string(reply.fencingToken)}});
    return;
  }
  const auto open = orders_.find(id);
  if (reply.status != clients::OrderStatus::kInvalid || open == orders_.end()) return;
  const auto& steps = open->second.order.steps;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    if (steps[index].engine != engine || !isActive(steps[index].state)) continue;
    open->second.clocks[index].refusal = "the engine refused: " + reply.detail;
  }
}

}  // namespace covewing::coordination
