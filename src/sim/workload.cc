#include "sim/workload.h"

#include <fmt/core.h>

#include <cmath>
#include <utility>

#include "emulator/expected_answer.h"

namespace covewing::sim {

namespace {
constexpr std::size_t kQuestionBytes = 200;
/// Repetitions of a not-repeatable call follow each other within this time.
constexpr base::Duration kRepetitionSpread = std::chrono::seconds(3);
constexpr base::Duration kDisconnectSpread = std::chrono::milliseconds(600);
constexpr base::Duration kSlowSpread = std::chrono::milliseconds(1500);

std::string randomText(base::RandomSource& random, std::size_t bytes) {
  constexpr std::uint64_t kLetters = 26;
  std::string text;
  text.reserve(bytes);
  while (text.size() < bytes) text.push_back(static_cast<char>('a' + random.below(kLetters)));
  return text;
}

base::Duration uniform(base::RandomSource& random, base::Duration bound) {
  return base::Duration(
      static_cast<base::Duration::rep>(random.below(static_cast<std::uint64_t>(bound.count()))));
}
}  // namespace

/// What all callers have in common: their record, by its position in the history.
class Workload::Caller {
 public:
  Caller(Workload& owner, std::size_t record) : owner_(owner), record_(record) {}
  virtual ~Caller() = default;
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

 protected:
  CallRecord& record() { return owner_.recorder_.history().calls[record_]; }

  void taken(const base::RequestId& id, base::Incarnation incarnation) {
    record().requestId = id;
    record().nodeIncarnation = incarnation;
  }

  /// False when the record was closed before: what came now must not have come.
  bool end(CallEnding ending) {
    auto& call = record();
    if (call.ending != CallEnding::kOpen) {
      ++call.callsAfterEnd;
      return false;
    }
    call.ending = ending;
    call.endedAt = owner_.fleet_.scheduler().now();
    return true;
  }
  bool open() { return record().ending == CallEnding::kOpen; }
  Workload& owner() { return owner_; }

 private:
  Workload& owner_;
  std::size_t record_;
};

class Workload::CompletionCallerImpl final : public Caller, public CompletionCaller {
 public:
  using Caller::Caller;

  void setCall(CallId call) { call_ = call; }
  void disconnect() {
    if (!open()) return;
    end(CallEnding::kDisconnected);
    owner().fleet_.node(record().node).disconnect(call_);
  }

  void onTaken(const base::RequestId& id, base::Incarnation incarnation) override {
    taken(id, incarnation);
  }
  void onChunk(const clients::StreamChunk& chunk) override {
    if (open()) {
      record().chunks.push_back({chunk.position, chunk.text});
    } else if (record().ending != CallEnding::kDisconnected) {
      ++record().callsAfterEnd;
    }
  }
  void onEnd(const clients::StreamEnd& got) override {
    if (record().ending == CallEnding::kDisconnected) return;
    if (!end(CallEnding::kComplete)) return;
    record().end = got;
    owner().recorder_.noteServed(record().node, record().nodeIncarnation);
  }
  void onRefused(const request::Refusal& refusal) override {
    if (record().ending == CallEnding::kDisconnected) return;
    if (end(CallEnding::kRefused)) record().refusal = refusal;
  }
  void onNodeLost() override {
    if (open()) end(CallEnding::kNodeLost);
  }

 private:
  CallId call_ = 0;
};

class Workload::ProxiedCallerImpl final : public Caller, public ProxiedCaller {
 public:
  using Caller::Caller;

  void onTaken(const base::RequestId& id, base::Incarnation incarnation) override {
    taken(id, incarnation);
  }
  void onResponse(const clients::ApplicationResponse& response) override {
    if (!end(CallEnding::kComplete)) return;
    record().answeredRequestId = response.requestId;
    record().answerBody = response.body;
    owner().recorder_.noteServed(record().node, record().nodeIncarnation);
  }
  void onRefused(const request::Refusal& refusal) override {
    if (end(CallEnding::kRefused)) record().refusal = refusal;
  }
  void onNodeLost() override {
    if (open()) end(CallEnding::kNodeLost);
  }
};

Workload::Workload(Fleet& fleet, HistoryRecorder& recorder, WorkloadOptions options,
                   std::vector<WorkloadTenant> tenants, std::uint64_t seed)
    : fleet_(fleet),
      recorder_(recorder),
      options_(options),
      tenants_(std::move(tenants)),
      random_(seed) {
  for (std::size_t index = 0; index < options_.documents; ++index) {
    documents_.push_back(randomText(random_, options_.documentBytes));
  }
}

Workload::~Workload() = default;

void Workload::start() {
  endsAt_ = fleet_.scheduler().now() + options_.length;
  repeat(options_.completionsPerSecond, &Workload::sendRandomCompletion);
  repeat(options_.notRepeatablePerSecond, &Workload::sendNotRepeatable);
  repeat(options_.readsPerSecond, &Workload::sendRead);
}

base::Duration Workload::exponential(double perSecond) {
  constexpr double kMicroseconds = 1e6;
  const double wait = -std::log(1.0 - random_.unit()) / perSecond;
  return base::Duration(static_cast<base::Duration::rep>(wait * kMicroseconds));
}

void Workload::repeat(double perSecond, void (Workload::*send)()) {
  if (perSecond <= 0) return;
  fleet_.scheduler().after(exponential(perSecond), [this, perSecond, send] {
    if (fleet_.scheduler().now() >= endsAt_) return;
    (this->*send)();
    repeat(perSecond, send);
  });
}

std::size_t Workload::chooseNode() {
  // As a caller behind a balancer that mostly knows which nodes are up.
  constexpr int kTries = 3;
  auto node = static_cast<std::size_t>(random_.below(fleet_.nodeCount()));
  for (int tries = 0; tries < kTries && fleet_.node(node).process().crashed(); ++tries) {
    node = static_cast<std::size_t>(random_.below(fleet_.nodeCount()));
  }
  return node;
}

const WorkloadTenant& Workload::chooseTenant() { return tenants_[random_.below(tenants_.size())]; }

std::string Workload::makePrompt() {
  const auto document = random_.unit() < options_.hotShare
                            ? hotDocument_
                            : static_cast<std::size_t>(random_.below(documents_.size()));
  return documents_[document] + randomText(random_, kQuestionBytes);
}

void Workload::shiftHotDocument() {
  documents_.push_back(randomText(random_, options_.documentBytes));
  hotDocument_ = documents_.size() - 1;
}

CallRecord Workload::newRecord(const WorkloadTenant& tenant, std::size_t node) {
  CallRecord record;
  record.number = nextNumber_++;
  record.node = node;
  record.nodeIncarnation = fleet_.node(node).process().incarnation();
  record.tenant = tenant.name;
  record.submittedAt = fleet_.scheduler().now();
  return record;
}

void Workload::sendRandomCompletion() { sendCompletion(chooseTenant()); }

void Workload::sendCompletion(const WorkloadTenant& tenant) {
  const auto node = chooseNode();
  auto prompt = std::make_shared<const std::string>(makePrompt());
  auto record = newRecord(tenant, node);
  record.model = tenant.model;
  record.promptHash = emulator::promptHash(*prompt);
  const auto range = options_.maximumTokens - options_.minimumTokens + 1;
  record.maximumTokens = options_.minimumTokens + static_cast<std::uint32_t>(random_.below(range));
  record.notRepeatable = random_.unit() < options_.notRepeatableShare;

  request::CompletionRequest request;
  request.bearerKey = tenant.bearerKey;
  request.model = tenant.model;
  if (!tenant.adapters.empty() && random_.unit() < 0.5) {
    request.adapter = tenant.adapters[random_.below(tenant.adapters.size())];
  }
  request.prompt = std::move(prompt);
  request.maximumTokens = record.maximumTokens;
  request.notRepeatable = record.notRepeatable;

  auto& calls = recorder_.history().calls;
  calls.push_back(std::move(record));
  auto caller = std::make_unique<CompletionCallerImpl>(*this, calls.size() - 1);
  auto& sink = *caller;
  callers_.push_back(std::move(caller));
  auto& host = fleet_.node(node);
  const auto call = host.complete(std::move(request), sink);
  sink.setCall(call);
  const auto fate = random_.unit();
  if (fate < options_.disconnectShare) {
    fleet_.scheduler().after(uniform(random_, kDisconnectSpread), [&sink] { sink.disconnect(); });
  } else if (fate < options_.disconnectShare + options_.slowShare) {
    host.setPaused(call, true);
    fleet_.scheduler().after(uniform(random_, kSlowSpread),
                             [&host, call] { host.setPaused(call, false); });
  }
}

void Workload::sendProxied(const WorkloadTenant& tenant, const std::string& method,
                           const std::string& target, const std::string& key) {
  const auto node = chooseNode();
  auto record = newRecord(tenant, node);
  record.proxied = true;
  record.method = method;
  record.target = target;
  record.idempotencyKey = key;
  record.notRepeatable = !key.empty();

  request::ProxiedRequest request;
  request.bearerKey = tenant.bearerKey;
  request.method = method;
  request.target = target;
  request.body = "{}";
  request.idempotencyKey = key;
  request.notRepeatable = !key.empty();

  auto& calls = recorder_.history().calls;
  calls.push_back(std::move(record));
  auto caller = std::make_unique<ProxiedCallerImpl>(*this, calls.size() - 1);
  auto& sink = *caller;
  callers_.push_back(std::move(caller));
  fleet_.node(node).proxy(std::move(request), sink);
}

void Workload::sendNotRepeatable() {
  constexpr std::uint64_t kMostRepetitions = 3;
  const auto tenant = chooseTenant();
  const auto target = fmt::format("/standings?n={}", nextNumber_);
  const auto key = fmt::format("key-{}", nextNumber_);
  sendProxied(tenant, "POST", target, key);
  for (auto left = random_.below(kMostRepetitions); left > 0; --left) {
    // Some at once, so that two nodes race for the claim.
    const auto wait =
        random_.unit() < 0.4 ? base::Duration::zero() : uniform(random_, kRepetitionSpread);
    fleet_.scheduler().after(
        wait, [this, tenant, target, key] { sendProxied(tenant, "POST", target, key); });
  }
}

void Workload::sendRead() {
  sendProxied(chooseTenant(), "GET", fmt::format("/standings?n={}", nextNumber_), "");
}

}  // namespace covewing::sim
