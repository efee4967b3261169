#include "quarantine/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

#include "membership/rendezvous.h"

namespace covewing::quarantine {

namespace {

constexpr double kJitter = 0.5;
/// Maximum number of features in one message; more are reported by several.
constexpr std::size_t kFeaturesPerReport = 1024;

bool isPart(base::RequestFeature feature) { return feature.kind == base::FeatureKind::kPromptPart; }

/// Joins messages about parts of prompts that have equal keys. Messages about requests are sent as
/// they are.
template <class Key, class Message>
class JoinedMessages {
 public:
  using Send = std::function<void(const Key&, const Message&)>;

  explicit JoinedMessages(Send send) : send_(std::move(send)) {}

  void add(const Key& key, const Message& message) {
    if (!isPart(message.feature)) {
      send_(key, message);
      return;
    }
    const auto [known, isNew] = joined_.try_emplace(key, message);
    if (!isNew) known->second.furtherParts.push_back(message.feature);
    if (known->second.furtherParts.size() < kMaximumFurtherParts) return;
    send_(key, known->second);
    joined_.erase(known);
  }
  void sendRest() {
    for (const auto& [key, message] : joined_) send_(key, message);
    joined_.clear();
  }

 private:
  Send send_;
  std::map<Key, Message> joined_;
};

/// What must be equal for suspicions to be joined: replicas, ages of the crashes, and at which of
/// them a response had begun.
using SuspicionKey = std::tuple<std::vector<base::EngineId>, std::vector<base::Duration>,
                                std::vector<base::EngineId>>;

/// The feature that a message names first, and its further parts.
template <class Message>
base::RequestFeatures featuresOf(const Message& message) {
  base::RequestFeatures features{message.feature};
  features.insert(features.end(), message.furtherParts.begin(), message.furtherParts.end());
  return features;
}

std::size_t begunCrashes(const std::vector<CountedCrash>& crashes) {
  return static_cast<std::size_t>(std::ranges::count(crashes, true, &CountedCrash::begun));
}

}  // namespace

RequestQuarantine::RequestQuarantine(RequestQuarantineOptions options,
                                     RequestQuarantineEnvironment environment)
    : options_(options),
      environment_(std::move(environment)),
      evidence_(options.evidence),
      rows_(environment_.table, environment_.timers, environment_.random, environment_.log) {}

RequestQuarantine::~RequestQuarantine() {
  environment_.timers.cancel(verdictTimer_);
  environment_.timers.cancel(searchTimer_);
  environment_.timers.cancel(comparisonTimer_);
  environment_.timers.cancel(homeCheckTimer_);
}

void RequestQuarantine::start() {
  for (const auto prefix : {kQuarantineKeyPrefix, kSuspectKeyPrefix}) {
    environment_.records.subscribe(
        std::string{prefix},
        [this, alive = std::weak_ptr(lifetime_)](const membership::GossipRecord& record) {
          if (!alive.expired()) onRecord(record);
        });
  }
  compareWithRows();
}

void RequestQuarantine::onRecord(const membership::GossipRecord& record) {
  const auto message = decodeQuarantineMessage(record.value);
  if (message && std::holds_alternative<QuarantineEntry>(*message)) {
    apply(std::get<QuarantineEntry>(*message), "gossip");
  } else if (message && std::holds_alternative<RequestSuspected>(*message)) {
    handle(std::get<RequestSuspected>(*message));
  } else {
    environment_.log.write(
        base::Event::kMessageRejected,
        {{"what", "quarantine record"}, {"record", record.key}, {"why", "malformed"}});
  }
}

std::optional<QuarantineStatus> RequestQuarantine::find(base::RequestFeature feature) const {
  const auto found = verdicts_.find(feature);
  if (found == verdicts_.end() || found->second.entry.lifted) return std::nullopt;
  const auto remaining = found->second.until - environment_.clock.now();
  if (remaining <= base::Duration::zero()) return std::nullopt;
  return QuarantineStatus{found->second.entry.crashes, remaining};
}

std::size_t RequestQuarantine::size(base::FeatureKind kind) const {
  return static_cast<std::size_t>(std::ranges::count_if(verdicts_, [&](const auto& verdict) {
    return verdict.first.kind == kind && find(verdict.first).has_value();
  }));
}

bool RequestQuarantine::empty() const {
  return std::ranges::none_of(
      verdicts_, [this](const auto& verdict) { return find(verdict.first).has_value(); });
}

void RequestQuarantine::onReplicaCrash(base::EngineId replica,
                                       const std::vector<base::InterruptedRequest>& runs) {
  // Requests that run together often share parts of their prompts.
  std::set<base::RequestFeature> features;
  std::set<base::RequestFeature> begun;
  for (const auto& run : runs) {
    for (const auto feature : run.features) {
      features.insert(feature);
      if (run.begun && isPart(feature)) begun.insert(feature);
    }
  }
  const CrashReport report{
      replica, {features.begin(), features.end()}, {begun.begin(), begun.end()}};
  if (reports_.size() >= options_.maximumReports) reports_.pop_front();
  reports_.push_back({report, environment_.clock.now()});
  sendRepeatedly([this, report] { sendReport(report); });
  scheduleHomeCheck();
}

void RequestQuarantine::scheduleHomeCheck() {
  if (homeCheckTimer_ != 0) return;
  reportedMembersVersion_ = environment_.members.version();
  homeCheckTimer_ =
      environment_.timers.schedule(options_.homeCheckPeriod, [this] { resendToNewHomes(); });
}

void RequestQuarantine::resendToNewHomes() {
  homeCheckTimer_ = 0;
  const auto oldest = environment_.clock.now() - options_.evidence.retention;
  while (!reports_.empty() && reports_.front().at < oldest) reports_.pop_front();
  if (reports_.empty()) return;
  if (environment_.members.version() != reportedMembersVersion_) {
    for (const auto& sent : reports_) {
      auto report = sent.report;
      report.age = environment_.clock.now() - sent.at;
      sendReport(report);
    }
  }
  scheduleHomeCheck();
}

void RequestQuarantine::sendReport(const CrashReport& report) {
  const std::set<base::RequestFeature> begun(report.begun.begin(), report.begun.end());
  std::map<base::Endpoint, CrashReport> reportOf;
  const auto sendTo = [this](const base::Endpoint& home, const CrashReport& own) {
    send(home, encode(own));
  };
  for (const auto feature : report.runs) {
    for (const auto& home : homesOf(feature)) {
      auto& own = reportOf[home];
      own.replica = report.replica;
      own.age = report.age;
      own.runs.push_back(feature);
      if (begun.contains(feature)) own.begun.push_back(feature);
      if (own.runs.size() < kFeaturesPerReport) continue;
      sendTo(home, own);
      reportOf.erase(home);
    }
  }
  for (const auto& [home, own] : reportOf) sendTo(home, own);
}

bool RequestQuarantine::recordCrash(const CrashReport& report, base::RequestFeature feature,
                                    bool begun) {
  const auto now = environment_.clock.now();
  const auto before = evidence_.crashesAgainst(feature);
  // Only parts are judged by the times of crashes.
  const auto at = isPart(feature) ? now - report.age : now;
  evidence_.onReplicaCrash(report.replica, {feature}, at,
                           begun ? base::RequestFeatures{feature} : base::RequestFeatures{});
  // Announcements and objections about each part of the prompts that all nodes serve would cost
  // more than the crash itself.
  if (isPart(feature) && served_.contains(feature, now)) evidence_.onServed(feature, now);
  const auto after = evidence_.crashesAgainst(feature);
  const bool grown = after.size() > before.size() || begunCrashes(after) > begunCrashes(before);
  return grown && after.size() > 1 && after.size() <= options_.maximumAnnouncedCrashes;
}

void RequestQuarantine::handle(const CrashReport& report) {
  const std::set<base::RequestFeature> begun(report.begun.begin(), report.begun.end());
  base::RequestFeatures newSuspects;
  for (const auto run : report.runs) {
    if (recordCrash(report, run, begun.contains(run))) newSuspects.push_back(run);
  }
  if (!newSuspects.empty()) {
    sendRepeatedly([this, newSuspects] { announce(newSuspects); });
    publishSuspicions(newSuspects);
    for (const auto run : newSuspects) storeSuspect(run);
    object(newSuspects);
  }
  scheduleSearch();
}

void RequestQuarantine::announce(const base::RequestFeatures& features) {
  JoinedMessages<SuspicionKey, RequestSuspected> messages(
      [this](const auto& /*key*/, const RequestSuspected& message) { sendToAll(encode(message)); });
  for (const auto feature : features) {
    const auto suspected = currentSuspicion(feature);
    // If the announcement were repeated after the request was served, it would count against the
    // request again at nodes that missed that.
    if (suspected.replicas.size() > 1)
      messages.add({suspected.replicas, suspected.ages, suspected.begun}, suspected);
  }
  messages.sendRest();
}

void RequestQuarantine::publishSuspicions(const base::RequestFeatures& features) {
  for (const auto feature : features) publish(currentSuspicion(feature));
}

RequestSuspected RequestQuarantine::currentSuspicion(base::RequestFeature feature) const {
  const auto now = environment_.clock.now();
  RequestSuspected suspected;
  suspected.feature = feature;
  suspected.announcedAt = environment_.serviceClock().value_or(base::Duration::zero());
  for (const auto& crash : evidence_.crashesAgainst(feature)) {
    suspected.replicas.push_back(crash.replica);
    if (!isPart(feature)) continue;
    suspected.ages.push_back(now - crash.at);
    if (crash.begun) suspected.begun.push_back(crash.replica);
  }
  return suspected;
}

void RequestQuarantine::publish(const RequestSuspected& suspected) {
  const auto version = suspected.announcedAt / std::chrono::milliseconds(1);
  environment_.records.publish(
      {suspectKeyOf(suspected.feature), static_cast<std::uint64_t>(version), encode(suspected)});
}

void RequestQuarantine::handle(const RequestSuspected& suspected) {
  std::vector<std::vector<CountedCrash>> before;
  for (const auto feature : featuresOf(suspected))
    before.push_back(evidence_.crashesAgainst(feature));
  addSuspicion(suspected);
  // The announcement of the other home node may arrive before the report of the node that observed
  // the crash.
  for (std::size_t index = 0; const auto feature : featuresOf(suspected)) {
    const auto& earlier = before[index++];
    const auto after = evidence_.crashesAgainst(feature);
    const bool grown = after.size() > earlier.size() || begunCrashes(after) > begunCrashes(earlier);
    if (grown && after.size() > 1) storeSuspect(feature);
  }
}

void RequestQuarantine::addSuspicion(const RequestSuspected& suspected) {
  const auto age = ageOf(suspected.announcedAt);
  if (age > options_.evidence.retention) return;
  const auto features = featuresOf(suspected);
  for (std::size_t index = 0; index < suspected.replicas.size(); ++index) {
    const auto replica = suspected.replicas[index];
    auto at = environment_.clock.now();
    if (index < suspected.ages.size()) at -= age + suspected.ages[index];
    const bool begun = std::ranges::find(suspected.begun, replica) != suspected.begun.end();
    evidence_.onReplicaCrash(replica, features, at, begun ? features : base::RequestFeatures{});
  }
  object(features);
  scheduleSearch();
}

void RequestQuarantine::object(const base::RequestFeatures& features) {
  const auto now = environment_.clock.now();
  base::RequestFeatures served;
  std::ranges::copy_if(features, std::back_inserter(served),
                       [&](const auto feature) { return served_.contains(feature, now); });
  if (!served.empty()) sendServedToHomes(served);
}

void RequestQuarantine::sendServedToHomes(const base::RequestFeatures& features) {
  sendRepeatedly([this, features] {
    JoinedMessages<base::Endpoint, RequestServed> messages(
        [this](const base::Endpoint& home, const RequestServed& message) {
          send(home, encode(message));
        });
    for (const auto feature : features) {
      for (const auto& home : homesOf(feature)) messages.add(home, {feature, {}});
    }
    messages.sendRest();
  });
}

void RequestQuarantine::onServed(const base::RequestFeatures& features) {
  base::RequestFeatures suspects;
  for (const auto feature : features) {
    served_.add(feature, environment_.clock.now());
    const bool suspected =
        !evidence_.crashesAgainst(feature).empty() || evidence_.isRememberedCulprit(feature);
    if (suspected || find(feature)) suspects.push_back(feature);
  }
  if (!suspects.empty()) sendServedToHomes(suspects);
}

void RequestQuarantine::handle(const RequestServed& served) {
  base::RequestFeatures announced;
  for (const auto feature : featuresOf(served)) {
    const bool wasAnnounced = evidence_.crashesAgainst(feature).size() > 1;
    const bool remembered = evidence_.isRememberedCulprit(feature);
    evidence_.onServed(feature, environment_.clock.now());
    if (!isHomeOf(feature)) continue;
    if (wasAnnounced) {
      announced.push_back(feature);
      publish(currentSuspicion(feature));
      if (writesRowsOf(feature)) removeSuspect(feature);
    }
    if (remembered || find(feature)) lift(feature);
  }
  if (announced.empty()) return;
  const RequestServed message{announced.front(), {announced.begin() + 1, announced.end()}};
  sendRepeatedly([this, message] { sendToAll(encode(message)); });
}

void RequestQuarantine::scheduleSearch() {
  const auto now = environment_.clock.now();
  evidenceAt_ = now;
  if (verdictTimer_ != 0 || searchTimer_ != 0) return;
  const auto due = searchedAt_ ? *searchedAt_ + options_.searchInterval : now;
  if (due <= now) {
    search();
    return;
  }
  searchTimer_ = environment_.timers.schedule(due - now, [this] {
    searchTimer_ = 0;
    search();
  });
}

void RequestQuarantine::search() {
  const auto now = environment_.clock.now();
  searchedAt_ = now;
  if (verdictTimer_ != 0 || !evidence_.findCulprit(now)) return;
  // The proof is no later than the newest evidence.
  const auto decidesAt = evidenceAt_ + options_.objectionPeriod;
  verdictTimer_ = environment_.timers.schedule(decidesAt - now, [this] {
    verdictTimer_ = 0;
    decide();
  });
}

void RequestQuarantine::decide() {
  while (const auto culprit = evidence_.findCulprit(environment_.clock.now())) {
    // The home nodes of the culprit decide; their verdict determines which crashes remain
    // unexplained. Parts that cannot be told from it are judged together with it, since its verdict
    // explains their crashes.
    const auto culprits = evidence_.inseparableFrom(*culprit);
    const bool judges = std::ranges::any_of(
        culprits, [this](const Culprit& each) { return isHomeOf(each.feature); });
    if (!judges) return;
    for (const auto& each : culprits) quarantine(each);
  }
}

base::Duration RequestQuarantine::ageOf(base::Duration moment) const {
  const auto now = environment_.serviceClock();
  return now ? std::max(*now - moment, base::Duration::zero()) : base::Duration::zero();
}

void RequestQuarantine::quarantine(const Culprit& culprit) {
  const QuarantineEntry entry{culprit.feature, culprit.crashes,
                              environment_.serviceClock().value_or(base::Duration::zero()), false};
  // The crashes are explained even if the quarantine has no capacity for another entry.
  evidence_.onQuarantined(culprit.feature, environment_.clock.now() + lifetimeOf(culprit.feature));
  if (!apply(entry, "evidence of crashes")) return;
  broadcast(entry);
  rows_.write(entry);
}

void RequestQuarantine::lift(base::RequestFeature feature) {
  const auto known = verdicts_.find(feature);
  auto entry = known != verdicts_.end() ? known->second.entry : QuarantineEntry{feature};
  // Later than the verdict, regardless of clock differences between the two nodes.
  entry.decidedAt =
      std::max(environment_.serviceClock().value_or(entry.decidedAt), entry.decidedAt);
  entry.lifted = true;
  if (!apply(entry, "the run reached its end")) return;
  broadcast(entry);
  rows_.write(entry);
}

base::Duration RequestQuarantine::lifetimeOf(base::RequestFeature feature) const {
  return isPart(feature) ? options_.partLifetime : options_.lifetime;
}

void RequestQuarantine::remember(base::RequestFeature feature, base::Duration age) {
  const auto left = lifetimeOf(feature) + options_.relapseTime - age;
  if (isPart(feature) && left > base::Duration::zero())
    evidence_.rememberCulprit(feature, environment_.clock.now() + left);
}

bool RequestQuarantine::apply(const QuarantineEntry& entry, std::string_view source) {
  const bool refusedBefore = find(entry.feature).has_value();
  const auto known = verdicts_.find(entry.feature);
  if (known != verdicts_.end() && known->second.entry.version() >= entry.version()) return false;
  const auto now = environment_.clock.now();
  std::erase_if(verdicts_, [now](const auto& verdict) { return verdict.second.until < now; });
  const auto age = ageOf(entry.decidedAt);
  const auto lifetime = lifetimeOf(entry.feature);
  const bool hasCapacity =
      verdicts_.contains(entry.feature) || verdicts_.size() < options_.maximumQuarantined;
  if (!entry.lifted) remember(entry.feature, age);
  if (age >= lifetime || !hasCapacity) return false;
  verdicts_[entry.feature] = {entry, now + lifetime - age};
  if (entry.lifted) {
    evidence_.onServed(entry.feature, now);
  } else {
    evidence_.onQuarantined(entry.feature, now + lifetime - age);
    removeQuarantinedSuspect(entry.feature);
  }
  // Both home nodes decide, a few milliseconds apart.
  if (refusedBefore == entry.lifted) {
    environment_.log.write(
        entry.lifted ? base::Event::kQuarantineLifted : base::Event::kRequestQuarantined,
        {{"kind", isPart(entry.feature) ? "prompt part" : "request"},
         {"fingerprint", isPart(entry.feature) ? "" : base::toString(entry.feature)},
         {"part", isPart(entry.feature) ? base::toString(entry.feature) : ""},
         {"crashes", std::to_string(entry.crashes)},
         {"known_from", std::string{source}},
         {"age_ms", base::millisecondsText(age)}});
  }
  scheduleComparison();
  scheduleSearch();
  return true;
}

void RequestQuarantine::broadcast(const QuarantineEntry& entry) {
  // Gossip takes a second or more in a fleet of hundreds of nodes.
  sendRepeatedly([this, entry] { sendToAll(encode(entry)); });
  publish(entry);
}

void RequestQuarantine::publish(const QuarantineEntry& entry) {
  environment_.records.publish({keyOf(entry.feature), entry.version(), encode(entry)});
}

void RequestQuarantine::scheduleComparison() {
  if (comparisonTimer_ != 0) return;
  const auto delay = environment_.random.jittered(options_.comparisonPeriod, kJitter);
  comparisonTimer_ = environment_.timers.schedule(delay, [this] {
    comparisonTimer_ = 0;
    const bool judges = std::ranges::any_of(
        verdicts_, [this](const auto& verdict) { return isHomeOf(verdict.first); });
    if (judges) {
      compareWithRows();
    } else if (!empty()) {
      scheduleComparison();
    }
  });
}

void RequestQuarantine::onStoreReturned() {
  const bool judges = std::ranges::any_of(
      verdicts_, [this](const auto& verdict) { return isHomeOf(verdict.first); });
  if (judges) compareWithRows();
  for (const auto& [feature, until] : suspectRows_) {
    const auto suspected = currentSuspicion(feature);
    if (writesRowsOf(feature) && !suspected.replicas.empty()) rows_.write(suspected);
  }
}

void RequestQuarantine::compareWithRows() {
  rows_.load([this](const StoredEvidence& stored) {
    mergeRows(stored);
    if (!empty()) scheduleComparison();
  });
}

void RequestQuarantine::mergeRows(const StoredEvidence& stored) {
  for (const auto& entry : stored.entries) apply(entry, "the table service");
  for (const auto& [feature, verdict] : verdicts_) {
    const auto row = std::ranges::find(stored.entries, feature, &QuarantineEntry::feature);
    const bool wanted = find(feature).has_value();
    // The row of a request that may be sent again would block it after a restart.
    const bool missing = wanted && row == stored.entries.end();
    const bool left = verdict.entry.lifted && row != stored.entries.end();
    if (missing || left) rows_.write(verdict.entry);
    if (wanted) publish(verdict.entry);
  }
  for (const auto& suspected : stored.suspects) {
    const auto age = ageOf(suspected.announcedAt);
    if (age > options_.evidence.retention) {
      rows_.removeSuspect(suspected.feature);
      continue;
    }
    scheduleRowRemoval(suspected.feature, age);
    addSuspicion(suspected);
  }
}

void RequestQuarantine::storeSuspect(base::RequestFeature feature) {
  if (!writesRowsOf(feature)) return;
  const bool hasCapacity =
      suspectRows_.contains(feature) || suspectRows_.size() < options_.maximumSuspectRows;
  if (!hasCapacity) return;
  // If all nodes are killed before the verdict, no other record of these crashes exists. Without
  // the row, such a request crashed four more replicas and was refused 5.3 s after its third crash
  // instead of within 1 s.
  rows_.write(currentSuspicion(feature));
  scheduleRowRemoval(feature, base::Duration::zero());
}

void RequestQuarantine::scheduleRowRemoval(base::RequestFeature feature, base::Duration age) {
  const auto left = options_.evidence.retention - age;
  suspectRows_[feature] = environment_.clock.now() + left;
  environment_.timers.schedule(left, [this, feature, alive = std::weak_ptr(lifetime_)] {
    if (alive.expired()) return;
    const auto found = suspectRows_.find(feature);
    if (found == suspectRows_.end() || environment_.clock.now() < found->second) return;
    suspectRows_.erase(found);
    if (writesRowsOf(feature)) rows_.removeSuspect(feature);
  });
}

void RequestQuarantine::removeSuspect(base::RequestFeature feature) {
  suspectRows_.erase(feature);
  rows_.removeSuspect(feature);
}

void RequestQuarantine::removeQuarantinedSuspect(base::RequestFeature feature) {
  if (suspectRows_.erase(feature) == 0 || !writesRowsOf(feature)) return;
  // Its home nodes write the verdict now; the suspect's row is removed once that is stored.
  environment_.timers.schedule(options_.secondResendDelay,
                               [this, feature, alive = std::weak_ptr(lifetime_)] {
                                 if (!alive.expired() && find(feature))
                                   rows_.removeSuspect(feature);
                               });
}

std::vector<base::Endpoint> RequestQuarantine::homesOf(base::RequestFeature feature) const {
  const auto& members = environment_.members;
  const auto& first = membership::rendezvousHome(feature.value, members,
                                                 [](const membership::Member&) { return true; });
  const auto& second = membership::rendezvousHome(
      feature.value, members,
      [&first](const membership::Member& member) { return member.id != first.id; });
  std::vector<base::Endpoint> homes{first.endpoint};
  if (second.id != first.id) homes.push_back(second.endpoint);
  return homes;
}

bool RequestQuarantine::isHomeOf(base::RequestFeature feature) const {
  const auto homes = homesOf(feature);
  return std::ranges::find(homes, environment_.members.self().endpoint) != homes.end();
}

bool RequestQuarantine::writesRowsOf(base::RequestFeature feature) const {
  return homesOf(feature).front() == environment_.members.self().endpoint;
}

void RequestQuarantine::sendToHomes(base::RequestFeature feature, const std::string& payload) {
  for (const auto& home : homesOf(feature)) send(home, payload);
}

void RequestQuarantine::send(const base::Endpoint& destination, const std::string& payload) {
  const auto& self = environment_.members.self();
  if (destination == self.endpoint) {
    onPeerMessage({self.id, self.incarnation, self.endpoint}, payload);
  } else {
    environment_.peers.send(destination, base::Channel::kQuarantine, payload);
  }
}

void RequestQuarantine::sendToAll(const std::string& payload) {
  const auto& members = environment_.members;
  for (const auto& member : members.liveMembers()) {
    if (member.id != members.self().id)
      environment_.peers.send(member.endpoint, base::Channel::kQuarantine, payload);
  }
}

void RequestQuarantine::sendRepeatedly(const std::function<void()>& send) {
  send();
  for (const auto delay : {options_.firstResendDelay, options_.secondResendDelay}) {
    environment_.timers.schedule(delay, [send, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired()) send();
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
  std::visit(
      [this](const auto& known) {
        using Message = std::decay_t<decltype(known)>;
        if constexpr (std::is_same_v<Message, QuarantineEntry>) {
          apply(known, "home node");
        } else {
          handle(known);
        }
      },
      *message);
}

}  // namespace covewing::quarantine
