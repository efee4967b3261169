#include "node/stream_origin_store.h"

#include <algorithm>

#include "base/codec.h"

namespace covewing::node {

namespace {

constexpr std::string_view kKeyPrefix = "stream-origins/";
/// Fields of an encoded row: its span and the list of groups.
constexpr std::uint32_t kRowFields = 2;
/// Fields of an encoded group before its streams: service and software version.
constexpr std::uint32_t kGroupFields = 2;
/// More rows than a fleet has.
constexpr std::size_t kAllRows = 1'000'000;

}  // namespace

StreamOriginStore::~StreamOriginStore() {
  environment_.timers.cancel(reviewTimer_);
  if (writeTimer_) environment_.timers.cancel(*writeTimer_);
  for (const auto& [number, search] : searches_) environment_.timers.cancel(search.timer);
}

std::string StreamOriginStore::encode(const Row& row) {
  base::Writer writer;
  writer.array(kRowFields).signedInteger(row.span);
  writer.array(static_cast<std::uint32_t>(row.origins.size()));
  for (const auto& [origin, streams] : row.origins) {
    writer.array(kGroupFields + static_cast<std::uint32_t>(streams.size()));
    writer.text(origin.first).text(origin.second);
    for (const auto stream : streams) writer.unsignedInteger(stream.value);
  }
  return writer.take();
}

std::optional<StreamOriginStore::Row> StreamOriginStore::decode(std::string_view value) {
  base::Reader reader(value);
  Row row;
  reader.beginArray();
  row.span = reader.signedInteger();
  const auto groups = reader.beginArray();
  for (std::uint32_t group = 0; group < groups && reader.ok(); ++group) {
    reader.beginArray();
    std::string service{reader.text()};
    std::string version{reader.text()};
    auto& streams = row.origins[{std::move(service), std::move(version)}];
    while (reader.more() && reader.ok()) {
      streams.push_back({reader.unsignedInteger()});
      ++row.records;
    }
    reader.endArray();
  }
  if (!reader.ok()) return std::nullopt;
  return row;
}

void StreamOriginStore::start() { review(); }

base::Duration StreamOriginStore::interval() const {
  const auto nodes = environment_.members.liveMembers().size();
  const auto shared = std::chrono::duration_cast<base::Duration>(std::chrono::seconds(1) * nodes /
                                                                 options_.fleetWritesPerSecond);
  return std::max(options_.writeInterval, shared);
}

void StreamOriginStore::add(routing::StreamId stream, const routing::StreamOrigin& origin,
                            base::Duration keepFor) {
  waiting_.push_back({stream, origin, environment_.clock.now() + keepFor});
  if (waiting_.size() > options_.maximumStreams) waiting_.pop_front();
  if (needsRecords(origin.service)) recordWhenDue();
}

bool StreamOriginStore::needsRecords(const std::string& service) const {
  return environment_.versions.mixedLately(service, environment_.clock.now());
}

void StreamOriginStore::recordWhenDue() {
  if (writeTimer_) return;
  const auto due = wroteAt_ + interval();
  const auto now = environment_.clock.now();
  if (now >= due) {
    record();
    return;
  }
  writeTimer_ = environment_.timers.schedule(due - now, [this] {
    writeTimer_.reset();
    record();
  });
}

void StreamOriginStore::review() {
  reviewTimer_ = environment_.timers.schedule(options_.reviewInterval, [this] { review(); });
  if (environment_.clock.now() - readAt_ > options_.rowSpan * options_.rows) read_.clear();
  record();
}

void StreamOriginStore::record() {
  const auto now = environment_.serviceClock();
  if (!now || writing_) return;
  const auto span = *now / options_.rowSpan;
  if (!ownRowRead_) {
    const bool needed = std::ranges::any_of(
        waiting_, [this](const Waiting& stream) { return needsRecords(stream.origin.service); });
    if (needed) readOwnRow(span);
    return;
  }
  if (span != row_.span) turnRow(span);
  collect();
  if (unwritten_) write();
}

void StreamOriginStore::turnRow(std::int64_t span) {
  // Records that may not have been stored go to the next row as well.
  if (!unwritten_) row_ = {};
  row_.span = span;
}

void StreamOriginStore::collect() {
  const auto now = environment_.clock.now();
  std::deque<Waiting> kept;
  for (auto& stream : waiting_) {
    if (stream.dropAt <= now) continue;
    if (needsRecords(stream.origin.service)) {
      append(stream);
    } else {
      kept.push_back(std::move(stream));
    }
  }
  waiting_ = std::move(kept);
}

void StreamOriginStore::append(const Waiting& stream) {
  if (row_.records >= options_.maximumRecordsPerRow) return;
  row_.origins[{stream.origin.service, stream.origin.softwareVersion}].push_back(stream.stream);
  ++row_.records;
  unwritten_ = true;
}

std::string StreamOriginStore::keyOf(std::int64_t span) const {
  return std::string{kKeyPrefix} + environment_.members.self().name + '/' +
         std::to_string(span % options_.rows);
}

void StreamOriginStore::write() {
  writing_ = true;
  unwritten_ = false;
  wroteAt_ = environment_.clock.now();
  clients::TableTransaction transaction;
  transaction.writes = {{keyOf(row_.span), encode(row_)}};
  environment_.table.commit(std::move(transaction), [this, alive = std::weak_ptr(lifetime_)](
                                                        const clients::TableReply& reply) {
    if (!alive.expired()) onWritten(reply);
  });
}

void StreamOriginStore::onWritten(const clients::TableReply& reply) {
  writing_ = false;
  if (reply.status != clients::TableStatus::kOk) {
    unwritten_ = true;
  } else if (!waiting_.empty()) {
    recordWhenDue();
  }
}

void StreamOriginStore::readOwnRow(std::int64_t span) {
  writing_ = true;
  environment_.table.read({keyOf(span)}, [this, span, alive = std::weak_ptr(lifetime_)](
                                             const clients::TableReply& reply) {
    if (!alive.expired()) onOwnRow(span, reply);
  });
}

void StreamOriginStore::onOwnRow(std::int64_t span, const clients::TableReply& reply) {
  writing_ = false;
  if (reply.status != clients::TableStatus::kOk) return;
  ownRowRead_ = true;
  auto stored = reply.rows.empty() ? std::nullopt : decode(reply.rows.front().value);
  if (stored && stored->span == span) row_ = std::move(*stored);
  recordWhenDue();
}

void StreamOriginStore::find(routing::StreamId stream, Callback found) {
  const auto number = ++lastSearch_;
  const auto known = read_.find(stream);
  if (known != read_.end()) {
    found(known->second);
    return;
  }
  auto timer =
      environment_.timers.schedule(options_.readTimeout, [this, number] { conclude(number); });
  searches_.emplace(number, Search{stream, std::move(found), timer});
  if (!reading_) readAll();
}

void StreamOriginStore::readAll() {
  reading_ = true;
  environment_.table.scan(std::string{kKeyPrefix}, 0, kAllRows,
                          [this, upTo = lastSearch_,
                           alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                            if (alive.expired()) return;
                            reading_ = false;
                            if (reply.status == clients::TableStatus::kOk) onRead(reply);
                            while (!searches_.empty() && searches_.begin()->first <= upTo)
                              conclude(searches_.begin()->first);
                            // Those that came meanwhile may be in records that were written
                            // meanwhile.
                            if (!searches_.empty() && !reading_) readAll();
                          });
}

void StreamOriginStore::onRead(const clients::TableReply& reply) {
  const auto now = reply.serviceTime ? reply.serviceTime : environment_.serviceClock();
  if (!now) return;
  const auto oldest = *now / options_.rowSpan - options_.rows;
  read_.clear();
  readAt_ = environment_.clock.now();
  for (const auto& stored : reply.rows) {
    const auto row = decode(stored.value);
    if (!row || row->span < oldest) continue;
    for (const auto& [origin, streams] : row->origins) {
      for (const auto stream : streams) {
        if (read_.size() >= options_.maximumStreams) return;
        read_.try_emplace(stream, routing::StreamOrigin{origin.first, origin.second, 0});
      }
    }
  }
}

void StreamOriginStore::conclude(std::uint64_t number) {
  auto entry = searches_.extract(number);
  if (entry.empty()) return;
  const auto& search = entry.mapped();
  environment_.timers.cancel(search.timer);
  const auto known = read_.find(search.stream);
  search.found(known == read_.end() ? std::nullopt : std::optional{known->second});
}

}  // namespace covewing::node
