#include "config/shared_feed.h"

#include <algorithm>
#include <utility>

namespace covewing::config {

namespace {

/// How often a node that has just started looks whether it has joined. A join takes a few
/// milliseconds.
constexpr base::Duration kJoinCheck = std::chrono::milliseconds(10);

}  // namespace

void SharedFeed::Backoff::onFailure(base::TimePoint now, const SharedFeedOptions& options) {
  until_ = now + next_;
  next_ = next_.count() == 0 ? options.firstBackoff : std::min(2 * next_, options.longestBackoff);
}

SharedFeed::SharedFeed(SharedFeedOptions options, SharedFeedEnvironment environment)
    : options_(options),
      environment_(environment),
      watchers_(environment.members, options.watchers),
      wholeCopyBytes_(options.wholeCopyBytesPerSecond) {
  environment_.eras.onReturn([this, alive = std::weak_ptr(lifetime_)](const StoreReturn&) {
    // The steady clock may be another one behind a return.
    if (!alive.expired()) clock_ = ServiceClock{};
  });
}

SharedFeed::~SharedFeed() {
  for (const auto& [nonce, call] : asked_) environment_.timers.cancel(call->timer);
  for (const auto& [number, held] : held_) environment_.timers.cancel(held.timer);
  environment_.timers.cancel(joinTimer_);
}

void SharedFeed::readAll(std::string table, clients::FeedCallback callback) {
  auto call = std::make_shared<Call>();
  call->table = std::move(table);
  call->whole = true;
  call->callback = std::move(callback);
  begin(call);
}

void SharedFeed::changes(std::string table, base::Revision after, base::Duration wait,
                         clients::FeedCallback callback) {
  auto call = std::make_shared<Call>();
  call->table = std::move(table);
  call->after = after;
  call->wait = wait;
  call->callback = std::move(callback);
  begin(call);
}

bool SharedFeed::mayYetJoin() {
  const auto now = environment_.clock.now();
  if (!firstCallAt_) firstCallAt_ = now;
  return environment_.members.liveMembers().size() <= 1 &&
         now - *firstCallAt_ < options_.joinPatience;
}

void SharedFeed::begin(const CallPtr& call) {
  if (mayYetJoin()) {
    postponed_.push_back(call);
    if (postponed_.size() > 1) return;
    joinTimer_ = environment_.timers.schedule(kJoinCheck, [this] {
      for (const auto& waiting : std::exchange(postponed_, {})) begin(waiting);
    });
    return;
  }
  ++tables_[call->table].underWay;
  if (prefersPeer(tables_[call->table]) && askPeer(call)) return;
  askService(call);
}

bool SharedFeed::prefersPeer(const Table& table) const {
  const auto now = environment_.clock.now();
  const bool reader = watchers_.role() == FeedWatchers::Role::kReader;
  return reader ? !table.service.over(now) : table.peers.over(now);
}

bool SharedFeed::copied(const Table& table) const {
  return table.provedAt && table.copy.revision() &&
         base::eraOf(*table.copy.revision()) == environment_.eras.current();
}

bool SharedFeed::ofOtherHistory(const Call& call, const clients::FeedReply& reply) const {
  const auto era = base::eraOf(reply.revision);
  if (era < environment_.eras.current()) return true;
  return !call.whole && era != base::eraOf(call.after);
}

void SharedFeed::endWithoutHistory(const CallPtr& call, base::Revision revision) {
  clients::FeedReply reply;
  reply.status = clients::FeedStatus::kHistoryGone;
  reply.revision = revision;
  finish(call, std::move(reply));
}

void SharedFeed::askService(const CallPtr& call) {
  call->serviceTried = true;
  if (!call->whole && base::eraOf(call->after) < environment_.eras.current()) {
    // The service would hold the call until its new counter has passed the position.
    environment_.timers.schedule({}, [this, call, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired()) endWithoutHistory(call, call->after);
    });
    return;
  }
  call->sentAt = environment_.clock.now();
  auto handler = [this, call, alive = std::weak_ptr(lifetime_)](clients::FeedReply reply) {
    if (!alive.expired()) onServiceReply(call, std::move(reply));
  };
  if (call->whole) {
    environment_.service.readAll(call->table, std::move(handler));
  } else {
    const bool quick = clock_.needsQuickCall(call->sentAt);
    call->hold = quick ? base::Duration::zero() : call->wait;
    environment_.service.changes(call->table, call->after, call->hold, std::move(handler));
  }
}

void SharedFeed::onServiceReply(const CallPtr& call, clients::FeedReply reply) {
  auto& table = tables_[call->table];
  const bool answered =
      reply.status == clients::FeedStatus::kOk || reply.status == clients::FeedStatus::kHistoryGone;
  if (answered) {
    if (table.service.failing())
      environment_.log.write(base::Event::kPlatformRecovered,
                             {{"service", "table feed"}, {"table", call->table}});
    table.service.onSuccess();
    if (ofOtherHistory(*call, reply)) return endWithoutHistory(call, reply.revision);
    if (reply.status == clients::FeedStatus::kOk) {
      reply.unreachableAt = std::exchange(table.unreachableAt, std::nullopt);
      table.serviceFailures = 0;
    }
    reply.currentAt = call->sentAt;
    if (reply.serviceTime) {
      const auto now = environment_.clock.now();
      const auto madeAt = clock_.madeAt(*reply.serviceTime, call->sentAt, call->hold, now);
      // Of a whole copy, only the first page is sure to be newer than the call.
      if (!call->whole) reply.currentAt = madeAt;
    }
    finish(call, std::move(reply));
    return;
  }
  if (!table.service.failing())
    environment_.log.write(base::Event::kPlatformUnavailable,
                           {{"service", "table feed"},
                            {"table", call->table},
                            {"status", std::to_string(static_cast<unsigned>(reply.status))},
                            {"instead", "other nodes"}});
  noteFailure(table, *call, reply.status);
  table.service.onFailure(environment_.clock.now(), options_);
  call->wait = {};
  if (!call->peerTried && askPeer(call)) return;
  finish(call, std::move(reply));
}

FeedWatchers::Scope SharedFeed::whomToAsk(const Call& call) {
  const auto role = watchers_.role();
  if (!call.serviceTried && role == FeedWatchers::Role::kFollower)
    return FeedWatchers::Scope::kOwnZone;
  if (!call.serviceTried && role == FeedWatchers::Role::kZoneWatcher)
    return FeedWatchers::Scope::kReaders;
  // Where the service refuses all watchers, nodes that turned to it themselves know more.
  return tables_[call.table].peers.failing() ? FeedWatchers::Scope::kAnyMember
                                             : FeedWatchers::Scope::kAllZones;
}

bool SharedFeed::askPeer(const CallPtr& call) {
  call->peerTried = true;
  const auto* member = watchers_.randomOther(whomToAsk(*call), environment_.random);
  if (member == nullptr) return false;
  const auto hold =
      call->whole ? options_.firstCopyHold : std::min(call->wait, options_.longestHold);
  const auto nonce = environment_.random.next();
  call->sentAt = environment_.clock.now();
  call->timer = environment_.timers.schedule(hold + options_.answerTimeout, [this, call, nonce] {
    asked_.erase(nonce);
    onPeerFailed(call);
  });
  asked_[nonce] = call;
  send(member->endpoint, FeedQuestion{nonce, call->table, call->after, hold, call->whole,
                                      environment_.eras.current()});
  return true;
}

void SharedFeed::onPeerAnswer(const CallPtr& call, const base::Endpoint& sender,
                              FeedAnswer answer) {
  environment_.timers.cancel(call->timer);
  // A negative time would make a proof younger than it is.
  const bool plausible = answer.held.count() >= 0 && answer.age.count() >= 0;
  environment_.eras.note(answer.era, "another node");
  const bool ofFormerEra = base::eraOf(answer.revision) < environment_.eras.current();
  if (answer.unable || !plausible || ofFormerEra) {
    onPeerFailed(call);
    return;
  }
  auto& table = tables_[call->table];
  if (answer.age > options_.oldestProof) {
    table.peers.onFailure(environment_.clock.now(), options_);
    if (!call->serviceTried) {
      askService(call);
      return;
    }
  } else {
    table.peers.onSuccess();
    // What was proved since is no outage's matter any more.
    table.serviceFailures = 0;
    table.unreachableAt.reset();
  }
  clients::FeedReply reply;
  reply.status = clients::FeedStatus::kOk;
  reply.rows = std::move(answer.rows);
  // The answer left no earlier than this on this node's clock.
  const auto answeredAt = call->sentAt + answer.held;
  for (std::size_t index = 0; index < std::min(reply.rows.size(), answer.changedAgo.size());
       ++index) {
    if (answer.changedAgo[index])
      reply.rows[index].changedAfter = answeredAt - *answer.changedAgo[index];
  }
  reply.revision = answer.revision;
  reply.serviceTime = answer.serviceTime;
  reply.currentAt = answeredAt - answer.age;
  reply.answeredBy = sender;
  finish(call, std::move(reply));
}

void SharedFeed::onPeerFailed(const CallPtr& call) {
  tables_[call->table].peers.onFailure(environment_.clock.now(), options_);
  if (call->serviceTried) {
    finish(call, {});
  } else {
    askService(call);
  }
}

void SharedFeed::finish(const CallPtr& call, clients::FeedReply reply) {
  auto& table = tables_[call->table];
  --table.underWay;
  const auto copiedUpTo = table.copy.revision().value_or(0);
  const bool acrossEras = base::eraOf(reply.revision) > base::eraOf(copiedUpTo);
  if (reply.status == clients::FeedStatus::kOk && !call->whole && acrossEras &&
      copiedUpTo != call->after) {
    // What is different since the position asked from is not all that differs from this copy.
    reply.status = clients::FeedStatus::kHistoryGone;
  }
  if (reply.status == clients::FeedStatus::kOk) {
    for (auto& row : reply.rows) boundChange(row, copiedUpTo, table.provedAt);
    if (call->whole) {
      table.copy.replace(reply.rows, reply.revision);
    } else {
      table.copy.apply(reply.rows, reply.revision);
    }
    table.provedAt = std::max(table.provedAt.value_or(*reply.currentAt), *reply.currentAt);
    if (reply.serviceTime)
      table.serviceOffset = *reply.serviceTime - environment_.clock.now().time_since_epoch();
    answerHeld(call->table);
  }
  call->callback(std::move(reply));
}

void SharedFeed::noteFailure(Table& table, const Call& call, clients::FeedStatus status) {
  // A refusal for too many calls is no outage. A first failure may be that of a connection alone;
  // the next call opens another one.
  if (status != clients::FeedStatus::kUnavailable) return;
  if (++table.serviceFailures > 1) table.unreachableAt = call.sentAt;
}

void SharedFeed::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  auto message = decodeFeedMessage(payload);
  if (!message) return;
  if (auto* question = std::get_if<FeedQuestion>(&*message)) {
    onQuestion(sender.endpoint, std::move(*question));
    return;
  }
  auto& answer = std::get<FeedAnswer>(*message);
  const auto asked = asked_.find(answer.nonce);
  if (asked == asked_.end()) return;
  const auto call = asked->second;
  asked_.erase(asked);
  onPeerAnswer(call, sender.endpoint, std::move(answer));
}

void SharedFeed::onQuestion(const base::Endpoint& asker, FeedQuestion question) {
  Held held{asker, std::move(question), environment_.clock.now(), 0};
  if (held.question.era) environment_.eras.note(*held.question.era, "another node");
  const auto& table = tables_[held.question.table];
  const bool copyUnderWay = !copied(table) && table.underWay > 0;
  const bool able = canAnswer(held.question) || copyUnderWay;
  const bool understands = held.question.era || environment_.eras.current() == 0;
  if (!able || !understands || held_.size() >= options_.mostHeld) {
    decline(held);
    return;
  }
  if (!copyUnderWay && answerIfNews(held)) return;
  const auto number = ++lastHeld_;
  const auto hold = std::min(held.question.wait, options_.longestHold);
  held.timer = environment_.timers.schedule(hold, [this, number] { answerWhenDue(number); });
  held_.emplace(number, std::move(held));
}

bool SharedFeed::mayTellWhole() {
  const auto now = environment_.clock.now();
  const double refill =
      base::toSeconds(now - wholeCopyRefilledAt_) * options_.wholeCopyBytesPerSecond;
  wholeCopyBytes_ = std::min(options_.wholeCopyBytesPerSecond, wholeCopyBytes_ + refill);
  wholeCopyRefilledAt_ = now;
  return wholeCopyBytes_ > 0;
}

bool SharedFeed::canAnswer(const FeedQuestion& question) const {
  const auto found = tables_.find(question.table);
  if (found == tables_.end() || !copied(found->second)) return false;
  const auto& table = found->second;
  if (environment_.clock.now() - *table.provedAt > options_.oldestProof) return false;
  return question.whole || table.copy.changesAfter(question.after);
}

bool SharedFeed::answerIfNews(const Held& held) {
  const auto& copy = tables_[held.question.table].copy;
  if (held.question.whole) {
    if (mayTellWhole()) {
      answer(held, copy.all());
    } else {
      decline(held);
    }
    return true;
  }
  auto rows = copy.changesAfter(held.question.after);
  if (!rows) {
    decline(held);
    return true;
  }
  const bool sameEra = base::eraOf(held.question.after) == base::eraOf(*copy.revision());
  if (rows->empty() && sameEra) return false;
  answer(held, std::move(*rows));
  return true;
}

void SharedFeed::decline(const Held& held) {
  FeedAnswer unable;
  unable.nonce = held.question.nonce;
  unable.unable = true;
  unable.era = environment_.eras.current();
  send(held.asker, unable);
}

void SharedFeed::answerWhenDue(std::uint64_t number) {
  const auto found = held_.find(number);
  if (found == held_.end()) return;
  const Held held = std::move(found->second);
  held_.erase(found);
  if (copied(tables_[held.question.table])) {
    answer(held, {});
  } else {
    decline(held);
  }
}

void SharedFeed::answerHeld(const std::string& table) {
  for (auto held = held_.begin(); held != held_.end();) {
    if (held->second.question.table != table) {
      ++held;
      continue;
    }
    environment_.timers.cancel(held->second.timer);
    if (!answerIfNews(held->second)) answer(held->second, {});
    held = held_.erase(held);
  }
}

void SharedFeed::answer(const Held& held, std::vector<clients::FeedRow> rows) {
  const auto now = environment_.clock.now();
  const auto& table = tables_[held.question.table];
  FeedAnswer answer;
  answer.nonce = held.question.nonce;
  answer.rows = std::move(rows);
  for (const auto& row : answer.rows) {
    answer.changedAgo.push_back(row.changedAfter ? std::optional{now - *row.changedAfter}
                                                 : std::nullopt);
  }
  answer.revision = *table.copy.revision();
  answer.held = now - held.arrivedAt;
  answer.age = now - *table.provedAt;
  answer.era = environment_.eras.current();
  if (table.serviceOffset) answer.serviceTime = now.time_since_epoch() + *table.serviceOffset;
  const auto payload = encodeFeedMessage(answer);
  if (held.question.whole) wholeCopyBytes_ -= static_cast<double>(payload.size());
  environment_.peers.send(held.asker, base::Channel::kTableFeed, payload);
}

void SharedFeed::send(const base::Endpoint& destination, const FeedMessage& message) {
  environment_.peers.send(destination, base::Channel::kTableFeed, encodeFeedMessage(message));
}

}  // namespace covewing::config
