#include "config/configuration_distributor.h"

namespace covewing::config {

namespace {
constexpr double kScanJitter = 0.2;
}  // namespace

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationDistributorOptions options, base::Clock& clock, base::TimerService& timers,
    base::RandomSource& random, base::EventLog& /*log*/, base::PeerTransport& /*peers*/,
    const membership::MemberDirectory& /*members*/, platform::TableClient& table,
    platform::ObjectStoreClient& /*objects*/, ConfigurationStore& store)
    : options_(options),
      clock_(clock),
      timers_(timers),
      random_(random),
      table_(table),
      store_(store) {}

ConfigurationDistributor::~ConfigurationDistributor() { timers_.cancel(timer_); }

void ConfigurationDistributor::start() { scan(); }

void ConfigurationDistributor::onWake() { store_.beginCheck(); }

void ConfigurationDistributor::onAccepted(const platform::TableRow& row) { store_.apply(row); }

void ConfigurationDistributor::onPeerMessage(const base::PeerIdentity& /*sender*/,
                                             std::string_view /*payload*/) {}

void ConfigurationDistributor::scan() {
  store_.noteRunning();
  const base::TimePoint askedAt = clock_.now();
  table_.scan(
      std::string(kTemplatePrefix), store_.completeUpTo(), options_.rowsPerScan,
      [this, askedAt, alive = std::weak_ptr<bool>(alive_)](const platform::TableReply& reply) {
        if (!alive.expired()) onScanned(askedAt, reply);
      });
}

void ConfigurationDistributor::onScanned(base::TimePoint askedAt,
                                         const platform::TableReply& reply) {
  const bool complete =
      reply.status == platform::TableStatus::kOk && reply.rows.size() < options_.rowsPerScan;
  if (reply.status == platform::TableStatus::kOk) {
    for (const platform::TableRow& row : reply.rows) store_.apply(row);
    store_.advance(reply.revision);
  }
  if (complete) {
    store_.confirm(reply.revision, askedAt);
    store_.markLoaded();
  }
  const bool more = reply.status == platform::TableStatus::kOk && !complete;
  timer_ = timers_.schedule(
      more ? base::Duration{0} : random_.jittered(options_.scanPeriod, kScanJitter),
      [this] { scan(); });
}

}  // namespace covewing::config
