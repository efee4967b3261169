#include "sim/mutation.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "config/template_row.h"
#include "request/claim.h"

namespace covewing::sim {

namespace {
constexpr std::array kMutations = {
    MutationEntry{Mutation::kNoClaim, "no-claim", "claims are granted without the table service",
                  "calm"},
    MutationEntry{Mutation::kNoReadBack, "no-read-back",
                  "a change whose answer was lost is not recognised", "answer-lost"},
    MutationEntry{Mutation::kUnknownAsNotSent, "unknown-as-not-sent",
                  "a lost dispatch is taken for one that was not sent", "application-faults"},
    MutationEntry{Mutation::kNoFencingCheck, "no-fencing-check",
                  "engines obey orders of former holders", "late-orders"},
    MutationEntry{Mutation::kNoPositionCheck, "no-position-check",
                  "chunks are passed on whatever their position", "engine-crash"},
    MutationEntry{Mutation::kNoTerminalCheck, "no-terminal-check",
                  "a broken stream is taken for a complete one", "engine-crash"},
    MutationEntry{Mutation::kNoIncarnation, "no-incarnation",
                  "cache entries outlive their engine's process", "engine-empty-return"},
    MutationEntry{Mutation::kNoTenantSalt, "no-tenant-salt", "tenants share cache entries", "calm"},
    MutationEntry{Mutation::kNoWeightsVersion, "no-weights-version",
                  "versions of weights share cache entries", "calm"},
    MutationEntry{Mutation::kNoRevisionCheck, "no-revision-check",
                  "older templates replace newer ones", "racing-operators"},
    MutationEntry{Mutation::kReuseAbandoned, "reuse-abandoned",
                  "connections are reused after an abandoned answer", "application-faults"},
    MutationEntry{Mutation::kDrainIgnored, "drain-ignored",
                  "nodes do not learn that a back end leaves", "engine-leave"},
};
static_assert(kMutations.size() + 1 == kMutationCount);

// --- table service

/// Passes everything on.
class ForwardingTable : public clients::TableClient {
 public:
  explicit ForwardingTable(clients::TableClient& inner) : inner_(inner) {}
  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    inner_.read(std::move(keys), std::move(callback));
  }
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    inner_.scan(std::move(prefix), after, limit, std::move(callback));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    inner_.commit(std::move(transaction), std::move(callback));
  }

 protected:
  clients::TableClient& inner() { return inner_; }

 private:
  clients::TableClient& inner_;
};

/// Grants every claim.
class ClaimingTable final : public ForwardingTable {
 public:
  ClaimingTable(clients::TableClient& inner, base::TimerService& timers)
      : ForwardingTable(inner), timers_(timers) {}
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    const bool claim = !transaction.writes.empty() &&
                       transaction.writes.front().key.starts_with(request::kClaimKeyPrefix);
    if (!claim) {
      inner().commit(std::move(transaction), std::move(callback));
      return;
    }
    timers_.schedule(std::chrono::milliseconds(1), [callback = std::move(callback)] {
      callback({clients::TableStatus::kOk, 1, {}});
    });
  }

 private:
  base::TimerService& timers_;
};

/// After a lost answer, does not let its node recognise the change as its own when it reads back.
class ForgetfulTable final : public ForwardingTable {
 public:
  using ForwardingTable::ForwardingTable;
  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    inner().read(std::move(keys), disguised(std::move(callback)));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    std::vector<std::string> written;
    for (const auto& write : transaction.writes) written.push_back(write.key);
    inner().commit(
        std::move(transaction),
        [this, written, callback = disguised(std::move(callback))](clients::TableReply reply) {
          if (reply.status == clients::TableStatus::kUnknown) {
            lost_.insert(written.begin(), written.end());
          }
          callback(std::move(reply));
        });
  }

 private:
  clients::TableCallback disguised(clients::TableCallback callback) {
    return [this, callback = std::move(callback)](clients::TableReply reply) {
      for (auto& row : reply.rows) disguise(row);
      callback(std::move(reply));
    };
  }
  void disguise(clients::TableRow& row) const {
    if (!lost_.contains(row.key)) return;
    base::Reason reason;
    auto parsed = config::parseTemplateRow(row, reason);
    if (!parsed) return;
    parsed->operationId = "unrecognised";
    row.value = config::encodeTemplateRow(*parsed);
  }
  std::set<std::string> lost_;
};

/// Gives the first version of a template that was seen for every later one, as a reader without a
/// check of revisions would end up with.
class RevertingTable final : public ForwardingTable {
 public:
  using ForwardingTable::ForwardingTable;
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    inner().scan(std::move(prefix), after, limit,
                 [this, callback = std::move(callback)](clients::TableReply reply) {
                   for (auto& row : reply.rows) revert(row);
                   callback(std::move(reply));
                 });
  }

 private:
  void revert(clients::TableRow& row) {
    if (!row.key.starts_with(config::kTemplatePrefix)) return;
    row.value = first_.emplace(row.key, row.value).first->second;
  }
  std::map<std::string, std::string> first_;
};

// --- engines

/// Sits between a node and one stream; the node's own checks see only what it lets through.
class StreamFilter final : public clients::EngineStream, public clients::EngineStreamHandler {
 public:
  StreamFilter(Mutation mutation, std::uint64_t firstPosition,
               clients::EngineStreamHandler& handler)
      : mutation_(mutation), next_(firstPosition), handler_(handler) {}
  void open(std::unique_ptr<clients::EngineStream> inner) { inner_ = std::move(inner); }

  void setPaused(bool paused) override { inner_->setPaused(paused); }
  void onAccepted() override { handler_.onAccepted(); }
  void onChunk(clients::StreamChunk chunk) override {
    if (mutation_ == Mutation::kNoPositionCheck) chunk.position = next_;
    ++next_;
    handler_.onChunk(std::move(chunk));
  }
  void onEnd(clients::StreamEnd end) override { handler_.onEnd(std::move(end)); }
  void onError(clients::DispatchError error) override {
    const bool broken = error.failure == clients::DispatchFailure::kOutcomeUnknown;
    if (mutation_ == Mutation::kNoTerminalCheck && broken && next_ > 0) {
      clients::StreamEnd end;
      end.outputTokens = static_cast<std::uint32_t>(next_);
      end.finishReason = "stop";
      handler_.onEnd(std::move(end));
      return;
    }
    if (mutation_ == Mutation::kUnknownAsNotSent) {
      error.failure = clients::DispatchFailure::kNotSent;
    }
    handler_.onError(std::move(error));
  }

 private:
  Mutation mutation_;
  std::uint64_t next_;
  clients::EngineStreamHandler& handler_;
  std::unique_ptr<clients::EngineStream> inner_;
};

class FilteringEngines final : public clients::EngineClient {
 public:
  FilteringEngines(Mutation mutation, clients::EngineClient& inner)
      : mutation_(mutation), inner_(inner) {}

  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress& engine,
                                               clients::EngineRequest request,
                                               clients::EngineStreamHandler& handler) override {
    auto filter = std::make_unique<StreamFilter>(mutation_, request.nextPosition, handler);
    // Without the check, a resume repeats what was received: the engine starts over.
    if (mutation_ == Mutation::kNoPositionCheck) {
      request.nextPosition = 0;
      request.generated.clear();
    }
    auto& sink = *filter;
    filter->open(inner_.start(engine, std::move(request), sink));
    return filter;
  }
  void poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
            std::function<void(std::optional<clients::EngineReport>)> callback) override {
    inner_.poll(engine, fromSequence, hideLeaving(std::move(callback)));
  }
  void snapshot(const clients::BackEndAddress& engine,
                std::function<void(std::optional<clients::EngineReport>)> callback) override {
    inner_.snapshot(engine, hideLeaving(std::move(callback)));
  }
  void order(const clients::BackEndAddress& engine, clients::EngineOrder order,
             std::function<void(clients::OrderReply)> callback) override {
    inner_.order(engine, std::move(order), std::move(callback));
  }

 private:
  using ReportCallback = std::function<void(std::optional<clients::EngineReport>)>;
  ReportCallback hideLeaving(ReportCallback callback) const {
    if (mutation_ != Mutation::kDrainIgnored) return callback;
    return [callback = std::move(callback)](std::optional<clients::EngineReport> report) {
      if (report) report->leaving = false;
      callback(std::move(report));
    };
  }

  Mutation mutation_;
  clients::EngineClient& inner_;
};

// --- applications and machine list

class OptimisticApplications final : public clients::ApplicationClient {
 public:
  explicit OptimisticApplications(clients::ApplicationClient& inner) : inner_(inner) {}
  void call(const clients::BackEndAddress& backEnd, clients::ApplicationRequest request,
            std::function<void(clients::ApplicationResult)> callback) override {
    inner_.call(backEnd, std::move(request),
                [callback = std::move(callback)](clients::ApplicationResult result) {
                  if (auto* error = std::get_if<clients::DispatchError>(&result)) {
                    error->failure = clients::DispatchFailure::kNotSent;
                  }
                  callback(std::move(result));
                });
  }

 private:
  clients::ApplicationClient& inner_;
};

class UndrainedMachines final : public clients::MachineListClient {
 public:
  explicit UndrainedMachines(clients::MachineListClient& inner) : inner_(inner) {}
  void fetch(clients::MachineListCallback callback) override {
    inner_.fetch(
        [callback = std::move(callback)](std::optional<std::vector<clients::Machine>> machines) {
          if (machines) {
            for (auto& machine : *machines) machine.state = clients::MachineState::kLive;
          }
          callback(std::move(machines));
        });
  }

 private:
  clients::MachineListClient& inner_;
};

/// Holds the wrappers of one run of a node.
class MutatingDecorator final : public EnvironmentDecorator {
 public:
  explicit MutatingDecorator(Mutation mutation) : mutation_(mutation) {}

  node::NodeEnvironment decorate(node::NodeEnvironment plain) override {
    table_ = makeTable(plain);
    engines_ = std::make_unique<FilteringEngines>(mutation_, plain.engines);
    machines_ = std::make_unique<UndrainedMachines>(plain.machines);
    applications_ = std::make_unique<OptimisticApplications>(plain.applications);
    auto& machines = mutation_ == Mutation::kDrainIgnored ? *machines_ : plain.machines;
    auto& applications =
        mutation_ == Mutation::kUnknownAsNotSent ? *applications_ : plain.applications;
    return {plain.clock, plain.timers,  plain.random, plain.log, plain.peers,
            *table_,     plain.objects, machines,     *engines_, applications};
  }

 private:
  std::unique_ptr<clients::TableClient> makeTable(node::NodeEnvironment& plain) const {
    switch (mutation_) {
      case Mutation::kNoClaim:
        return std::make_unique<ClaimingTable>(plain.table, plain.timers);
      case Mutation::kNoReadBack:
        return std::make_unique<ForgetfulTable>(plain.table);
      case Mutation::kNoRevisionCheck:
        return std::make_unique<RevertingTable>(plain.table);
      default:
        return std::make_unique<ForwardingTable>(plain.table);
    }
  }

  Mutation mutation_;
  std::unique_ptr<clients::TableClient> table_;
  std::unique_ptr<FilteringEngines> engines_;
  std::unique_ptr<clients::MachineListClient> machines_;
  std::unique_ptr<clients::ApplicationClient> applications_;
};
}  // namespace

std::span<const MutationEntry> mutations() { return kMutations; }

std::optional<Mutation> findMutation(std::string_view name) {
  const auto* found = std::ranges::find(kMutations, name, &MutationEntry::name);
  if (found == kMutations.end()) return std::nullopt;
  return found->mutation;
}

std::string_view toString(Mutation mutation) {
  const auto* found = std::ranges::find(kMutations, mutation, &MutationEntry::mutation);
  return found == kMutations.end() ? "none" : found->name;
}

void applyMutation(Mutation mutation, FleetOptions& options) {
  for (auto& engine : options.engines) {
    auto& safeguards = engine.model.safeguards;
    if (mutation == Mutation::kNoFencingCheck) safeguards.checkFencing = false;
    if (mutation == Mutation::kNoTenantSalt) safeguards.separateTenants = false;
    if (mutation == Mutation::kNoWeightsVersion) safeguards.separateVersions = false;
    if (mutation == Mutation::kNoIncarnation) {
      safeguards.checkIncarnation = false;
      safeguards.crashLosesCache = false;
    }
  }
  options.applicationClientFaults.reuseAbandoned = mutation == Mutation::kReuseAbandoned;
  if (mutation == Mutation::kNone) return;
  options.decorator = [mutation] { return std::make_unique<MutatingDecorator>(mutation); };
}

}  // namespace covewing::sim
