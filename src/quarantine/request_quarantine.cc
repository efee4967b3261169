#include "quarantine/request_quarantine.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace covewing::quarantine {

namespace {

constexpr double kJitter = 0.5;

}  // namespace

RequestQuarantine::RequestQuarantine(RequestQuarantineOptions options,
                                     RequestQuarantineEnvironment environment)
    : options_(options),
      environment_(std::move(environment)),
      evidence_(options.evidence),
      rows_(environment_.table, environment_.timers, environment_.random, environment_.log) {}

RequestQuarantine::~RequestQuarantine() {
  environment_.timers.cancel(verdictTimer_);
  environment_.timers.cancel(comparisonTimer_);
}

void RequestQuarantine::start() {
  environment_.records.subscribe(
      std::string{kQuarantineKeyPrefix},
      [this, alive = std::weak_ptr(lifetime_)](const membership::GossipRecord& record) {
        if (alive.expired()) return;
        if (const auto entry = decodeQuarantineEntry(record.value)) {
          apply(*entry, "another node");
        } else {
          environment_.log.write(
              base::Event::kMessageRejected,
              {{"what", "quarantine record"}, {"record", record.key}, {"why", "malformed"}});
        }
      });
  compareWithRows();
}

std::optional<QuarantineStatus> RequestQuarantine::find(base::RequestFingerprint request) const {
  const auto found = verdicts_.find(request);
  if (found == verdicts_.end() || found->second.entry.lifted) return std::nullopt;
  const auto remaining = found->second.until - environment_.clock.now();
  if (remaining <= base::Duration::zero()) return std::nullopt;
  return QuarantineStatus{found->second.entry.crashes, remaining};
}

std::size_t RequestQuarantine::size() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      verdicts_, [this](const auto& verdict) { return find(verdict.first).has_value(); }));
}

void RequestQuarantine::onRunsEnded(base::EngineId replica, const Fingerprints& runs) {
  broadcastRepeatedly(encode(RunsEnded{replica, runs}));
  takeEvidence(replica, runs);
}

void RequestQuarantine::takeEvidence(base::EngineId replica, const Fingerprints& runs) {
  evidence_.onRunsEnded(replica, runs, environment_.clock.now());
  object(runs);
  scheduleVerdict();
}

void RequestQuarantine::object(const Fingerprints& runs) {
  const auto now = environment_.clock.now();
  RequestsServed served;
  for (const auto run : runs) {
    if (served_.contains(run, now)) served.requests.push_back(run);
  }
  if (served.requests.empty()) return;
  broadcast(encode(served));
  for (const auto request : served.requests) takeServed(request);
}

void RequestQuarantine::onServed(base::RequestFingerprint request) {
  served_.add(request, environment_.clock.now());
  if (!evidence_.suspected(request) && !find(request)) return;
  broadcastRepeatedly(encode(RequestsServed{{request}}));
  takeServed(request);
}

void RequestQuarantine::takeServed(base::RequestFingerprint request) {
  evidence_.onServed(request, environment_.clock.now());
  if (find(request)) lift(request);
}

void RequestQuarantine::scheduleVerdict() {
  if (verdictTimer_ != 0 || !evidence_.findCulprit(environment_.clock.now())) return;
  verdictTimer_ = environment_.timers.schedule(options_.objectionTime, [this] {
    verdictTimer_ = 0;
    decide();
  });
}

void RequestQuarantine::decide() {
  while (const auto culprit = evidence_.findCulprit(environment_.clock.now())) quarantine(*culprit);
}

base::Duration RequestQuarantine::ageOf(const QuarantineEntry& entry) const {
  const auto now = environment_.serviceClock();
  return now ? std::max(*now - entry.decidedAt, base::Duration::zero()) : base::Duration::zero();
}

void RequestQuarantine::quarantine(const Culprit& culprit) {
  const QuarantineEntry entry{culprit.request, culprit.crashes,
                              environment_.serviceClock().value_or(base::Duration::zero()), false};
  // The crashes are explained even where there is no room for one more.
  evidence_.onQuarantined(culprit.request, environment_.clock.now() + options_.lifetime);
  if (!apply(entry, "crashes seen")) return;
  publish(entry);
  if (writesAtOnce(culprit.request)) rows_.write(entry);
}

void RequestQuarantine::lift(base::RequestFingerprint request) {
  auto entry = verdicts_.at(request).entry;
  // Later than the verdict, whatever the clocks of the two nodes say.
  entry.decidedAt =
      std::max(environment_.serviceClock().value_or(entry.decidedAt), entry.decidedAt);
  entry.lifted = true;
  if (!apply(entry, "a run that came to its end")) return;
  publish(entry);
  rows_.write(entry);
}

bool RequestQuarantine::apply(const QuarantineEntry& entry, std::string_view source) {
  const auto known = verdicts_.find(entry.request);
  if (known != verdicts_.end() && known->second.entry.version() >= entry.version()) return false;
  const auto now = environment_.clock.now();
  std::erase_if(verdicts_, [now](const auto& verdict) { return verdict.second.until < now; });
  const auto age = ageOf(entry);
  if (age >= options_.lifetime || verdicts_.size() >= options_.mostQuarantined) return false;
  verdicts_[entry.request] = {entry, now + options_.lifetime - age};
  if (entry.lifted) {
    evidence_.onServed(entry.request, now);
  } else {
    evidence_.onQuarantined(entry.request, now + options_.lifetime - age);
  }
  environment_.log.write(
      entry.lifted ? base::Event::kQuarantineLifted : base::Event::kRequestQuarantined,
      {{"fingerprint", base::toString(entry.request)},
       {"crashes", std::to_string(entry.crashes)},
       {"known_from", std::string{source}},
       {"age_ms", std::to_string(age / std::chrono::milliseconds(1))}});
  scheduleComparison();
  return true;
}

void RequestQuarantine::publish(const QuarantineEntry& entry) {
  environment_.records.publish({keyOf(entry.request), entry.version(), encode(entry)});
}

bool RequestQuarantine::writesAtOnce(base::RequestFingerprint request) const {
  const auto rank = [request](const membership::Member& member) {
    return base::mixHash(member.id.value, request.value);
  };
  const auto& members = environment_.members;
  const auto own = rank(members.self());
  const auto ahead = std::ranges::count_if(members.liveMembers(),
                                           [&](const auto& member) { return rank(member) > own; });
  return static_cast<std::size_t>(ahead) < options_.writers;
}

void RequestQuarantine::scheduleComparison() {
  if (comparisonTimer_ != 0) return;
  const auto delay = environment_.random.jittered(options_.comparePeriod, kJitter);
  comparisonTimer_ = environment_.timers.schedule(delay, [this] {
    comparisonTimer_ = 0;
    if (size() > 0) compareWithRows();
  });
}

void RequestQuarantine::compareWithRows() {
  rows_.load([this](const std::vector<QuarantineEntry>& entries) {
    for (const auto& entry : entries) apply(entry, "the table service");
    for (const auto& [request, verdict] : verdicts_) {
      const auto kept = std::ranges::find(entries, request, &QuarantineEntry::request);
      const bool wanted = find(request).has_value();
      // A row of a request that may be sent again would stop it after a restart.
      const bool missing = wanted && kept == entries.end();
      const bool left = verdict.entry.lifted && kept != entries.end();
      if (missing || left) rows_.write(verdict.entry);
      if (wanted) publish(verdict.entry);
    }
    if (size() > 0) scheduleComparison();
  });
}

void RequestQuarantine::broadcast(const std::string& payload) {
  const auto& members = environment_.members;
  for (const auto& member : members.liveMembers()) {
    if (member.id != members.self().id)
      environment_.peers.send(member.endpoint, base::Channel::kQuarantine, payload);
  }
}

void RequestQuarantine::broadcastRepeatedly(const std::string& payload) {
  broadcast(payload);
  for (const auto delay : {options_.firstRepeat, options_.secondRepeat}) {
    environment_.timers.schedule(delay, [this, payload, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired()) broadcast(payload);
    });
  }
}

void RequestQuarantine::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodeQuarantineMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected,
                           {{"channel", "quarantine"}, {"from", base::toString(sender.endpoint)}});
    return;
  }
  if (const auto* ended = std::get_if<RunsEnded>(&*message)) {
    takeEvidence(ended->replica, ended->runs);
  } else {
    for (const auto request : std::get<RequestsServed>(*message).requests) takeServed(request);
  }
}

}  // namespace covewing::quarantine
