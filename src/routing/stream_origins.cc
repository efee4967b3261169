#include "routing/stream_origins.h"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.h"

namespace covewing::routing {

namespace {

/// Keeps the record of the later dispatch.
void keepLater(std::optional<StreamOrigin>& kept, const StreamOrigin& origin) {
  if (!kept || kept->dispatch < origin.dispatch) kept = origin;
}

}  // namespace

std::string_view toString(OriginSource source) {
  switch (source) {
    case OriginSource::kOwnRecord:
      return "own record";
    case OriginSource::kHome:
      return "home";
    case OriginSource::kStoredRecord:
      return "stored record";
    case OriginSource::kSoleVersion:
      return "sole version";
  }
  return "unknown";
}

StreamOrigins::~StreamOrigins() {
  for (const auto& [nonce, search] : searches_) environment_.timers.cancel(search.timer);
}

std::vector<const membership::Member*> StreamOrigins::homesOf(StreamId stream) const {
  return membership::rendezvousHomes(stream.value, environment_.members, options_.homes);
}

void StreamOrigins::send(const base::Endpoint& destination, const StreamOriginMessage& message) {
  environment_.peers.send(destination, base::Channel::kStreamOrigin, encode(message));
}

void StreamOrigins::report(StreamId stream, StreamOrigin origin, base::Duration timeLeft) {
  const auto keepFor = timeLeft + options_.margin;
  store(stream, {origin, true, discardTime(keepFor)});
  const StreamReport message{stream, std::move(origin), keepFor};
  const auto self = environment_.members.self().id;
  for (const auto* home : homesOf(stream))
    if (home->id != self) send(home->endpoint, message);
}

void StreamOrigins::onFirstEvent(StreamId stream, const StreamOrigin& origin,
                                 base::Duration timeLeft) {
  if (environment_.storeOrigin)
    environment_.storeOrigin(stream, origin, timeLeft + options_.margin);
}

base::TimePoint StreamOrigins::discardTime(base::Duration keepFor) const {
  return environment_.clock.now() + std::min(keepFor, options_.maximumRetention);
}

void StreamOrigins::store(StreamId stream, const Record& record) {
  discardExpired();
  const auto [entry, added] = records_.try_emplace(stream, record);
  if (added) {
    order_.push_back(stream);
  } else if (entry->second.origin.dispatch <= record.origin.dispatch) {
    entry->second = record;
  }
  if (records_.size() <= options_.maximumRecords) return;
  records_.erase(order_.front());
  order_.pop_front();
}

void StreamOrigins::discardExpired() {
  const auto now = environment_.clock.now();
  while (!order_.empty()) {
    const auto oldest = records_.find(order_.front());
    if (oldest != records_.end() && oldest->second.discardAt > now) return;
    if (oldest != records_.end()) records_.erase(oldest);
    order_.pop_front();
  }
}

const StreamOrigins::Record* StreamOrigins::recordOf(StreamId stream) const {
  const auto found = records_.find(stream);
  const bool valid = found != records_.end() && found->second.discardAt > environment_.clock.now();
  return valid ? &found->second : nullptr;
}

void StreamOrigins::find(StreamId stream, const std::string& service, base::Duration age,
                         FoundCallback found) {
  const auto* record = recordOf(stream);
  if (record != nullptr && record->own) {
    found(FoundOrigin{record->origin.service, record->origin.softwareVersion,
                      OriginSource::kOwnRecord});
    return;
  }
  Search search;
  search.stream = stream;
  search.service = service;
  search.age = age;
  if (record != nullptr) search.origin = record->origin;
  search.found = std::move(found);
  const auto nonce = environment_.random.next();
  const auto self = environment_.members.self().id;
  for (const auto* home : homesOf(stream)) {
    if (home->id == self) continue;
    ++search.pendingReplies;
    send(home->endpoint, StreamQuery{nonce, stream, service});
  }
  const bool nobodyToAsk = search.pendingReplies == 0;
  search.timer = environment_.timers.schedule(options_.timeout, [this, nonce] { conclude(nonce); });
  searches_.emplace(nonce, std::move(search));
  if (nobodyToAsk) conclude(nonce);
}

void StreamOrigins::onQuery(const base::PeerIdentity& sender, const StreamQuery& query) {
  StreamReply reply;
  reply.nonce = query.nonce;
  if (const auto* record = recordOf(query.stream)) reply.origin = record->origin;
  reply.sole = environment_.versions.soleVersion(query.service, environment_.clock.now());
  send(sender.endpoint, reply);
}

void StreamOrigins::onReply(const StreamReply& reply) {
  const auto found = searches_.find(reply.nonce);
  if (found == searches_.end()) return;
  auto& search = found->second;
  if (reply.origin) keepLater(search.origin, *reply.origin);
  search.soleVersions.push_back(reply.sole);
  --search.pendingReplies;
  if (search.pendingReplies == 0) conclude(reply.nonce);
}

void StreamOrigins::conclude(std::uint64_t nonce) {
  auto entry = searches_.extract(nonce);
  if (entry.empty()) return;
  const auto& search = entry.mapped();
  environment_.timers.cancel(search.timer);
  if (search.origin) {
    search.found(
        FoundOrigin{search.origin->service, search.origin->softwareVersion, OriginSource::kHome});
  } else {
    concludeWithoutRecord(search);
  }
}

std::optional<SoleVersion> StreamOrigins::agreedVersion(const Search& search) const {
  auto agreed = environment_.versions.soleVersion(search.service, environment_.clock.now());
  if (!agreed) return std::nullopt;
  for (const auto& other : search.soleVersions) {
    // A home that knows several versions, or another one, is right: this list may be late.
    if (!other || other->softwareVersion != agreed->softwareVersion) return std::nullopt;
    agreed->since = std::max(agreed->since, other->since);
    if (!agreed->replacedAgo) agreed->replacedAgo = other->replacedAgo;
    if (other->replacedAgo)
      agreed->replacedAgo = std::min(*agreed->replacedAgo, *other->replacedAgo);
  }
  // Whoever has not seen the other version, because it had just started or stood still, may claim
  // to know for longer than whoever has seen it go.
  if (agreed->replacedAgo) agreed->since = std::min(agreed->since, *agreed->replacedAgo);
  return confirmedByOthers(search) ? agreed : std::nullopt;
}

bool StreamOrigins::confirmedByOthers(const Search& search) const {
  if (!search.soleVersions.empty()) return true;
  // A node that has lost all others may be cut off from them, and they may have sent the stream to
  // replicas that this node has not read.
  const auto& members = environment_.members;
  return members.liveMembers().size() <= 1 && members.lostMembers() == 0;
}

void StreamOrigins::concludeWithoutRecord(const Search& search) const {
  const auto agreed = agreedVersion(search);
  if (agreed && agreed->since >= search.age) {
    search.found(FoundOrigin{search.service, agreed->softwareVersion, OriginSource::kSoleVersion});
    return;
  }
  concludeByStoredRecord(search, [this, search, agreed] {
    if (agreed && environment_.recordedVersion) {
      concludeByRecordedVersion(search, *agreed);
    } else {
      search.found(std::nullopt);
    }
  });
}

void StreamOrigins::concludeByStoredRecord(const Search& search,
                                           std::function<void()> notFound) const {
  if (!environment_.findStoredOrigin) {
    notFound();
    return;
  }
  environment_.findStoredOrigin(
      search.stream, [found = search.found,
                      notFound = std::move(notFound)](const std::optional<StreamOrigin>& stored) {
        if (stored) {
          found(FoundOrigin{stored->service, stored->softwareVersion, OriginSource::kStoredRecord});
        } else {
          notFound();
        }
      });
}

void StreamOrigins::concludeByRecordedVersion(const Search& search,
                                              const SoleVersion& agreed) const {
  // Another version may have been replaced before any of the lists was read.
  const FoundOrigin origin{search.service, agreed.softwareVersion, OriginSource::kSoleVersion};
  environment_.recordedVersion(
      search.service, search.age,
      [origin, found = search.found](const std::optional<std::string>& recorded) {
        found(recorded == origin.softwareVersion ? std::optional{origin} : std::nullopt);
      });
}

void StreamOrigins::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodeStreamOriginMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "stream origin"}});
    return;
  }
  if (const auto* report = std::get_if<StreamReport>(&*message))
    store(report->stream, {report->origin, false, discardTime(report->keepFor)});
  if (const auto* query = std::get_if<StreamQuery>(&*message)) onQuery(sender, *query);
  if (const auto* reply = std::get_if<StreamReply>(&*message)) onReply(*reply);
}

}  // namespace covewing::routing
