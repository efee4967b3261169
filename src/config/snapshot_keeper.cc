#include "config/snapshot_keeper.h"

namespace covewing::config {

namespace {

/// All rows of the store above a revision.
std::vector<clients::TableRow> rowsAbove(const ConfigurationStore& store, base::Revision after) {
  std::vector<clients::TableRow> rows;
  for (const std::string& name : store.names()) {
    std::optional<clients::TableRow> row = store.findRow(name);
    if (row && row->revision > after) rows.push_back(std::move(*row));
  }
  return rows;
}

}  // namespace

SnapshotKeeper::SnapshotKeeper(SnapshotKeeperOptions options, base::Clock& clock,
                               base::EventLog& log, clients::ObjectStoreClient& objects,
                               ConfigurationStore& store)
    : options_(options), clock_(clock), log_(log), objects_(objects), store_(store) {}

void SnapshotKeeper::write() {
  if (store_.digest() == writtenDigest_) return;
  const base::TimePoint now = clock_.now();
  if (!wholeWritten_ || now - wholeAt_ >= options_.wholePeriod) {
    wholeWritten_ = true;
    wholeAt_ = now;
    wholeUpTo_ = store_.completeUpTo();
    put(kSnapshotObject, {0, wholeUpTo_, rowsAbove(store_, 0)});
  } else if (now - changesAt_ >= options_.changesPeriod) {
    changesAt_ = now;
    put(kSnapshotChangesObject, {wholeUpTo_, store_.completeUpTo(), rowsAbove(store_, wholeUpTo_)});
  }
}

void SnapshotKeeper::put(std::string_view object, const ConfigurationSnapshot& snapshot) {
  writtenDigest_ = store_.digest();
  const bool whole = object == kSnapshotObject;
  objects_.put(
      std::string(object), encode(snapshot),
      [this, whole, alive = std::weak_ptr<bool>(alive_)](const clients::ObjectReply& reply) {
        if (alive.expired() || reply.status == clients::ObjectStatus::kOk) return;
        writtenDigest_ = 0;
        if (whole) wholeWritten_ = false;
      });
}

void SnapshotKeeper::read() {
  const base::TimePoint now = clock_.now();
  if (readAt_ && now - *readAt_ < options_.readRetry) return;
  readAt_ = now;
  objects_.get(std::string(kSnapshotObject),
               [this, alive = std::weak_ptr<bool>(alive_)](const clients::ObjectReply& reply) {
                 if (!alive.expired()) onWhole(reply);
               });
}

void SnapshotKeeper::onWhole(const clients::ObjectReply& reply) {
  if (store_.loaded() || !apply(reply)) return;
  objects_.get(std::string(kSnapshotChangesObject),
               [this, alive = std::weak_ptr<bool>(alive_)](const clients::ObjectReply& changes) {
                 if (!alive.expired()) onChanges(changes);
               });
}

void SnapshotKeeper::onChanges(const clients::ObjectReply& reply) {
  // The whole copy alone serves too.
  apply(reply);
  store_.markLoaded();
}

bool SnapshotKeeper::apply(const clients::ObjectReply& reply) {
  if (reply.status != clients::ObjectStatus::kOk) return false;
  base::Reason reason;
  const std::optional<ConfigurationSnapshot> snapshot = decodeSnapshot(reply.bytes, reason);
  if (!snapshot) {
    log_.write(base::Event::kMessageRejected, {{"detail", reason.detail}});
    return false;
  }
  for (const clients::TableRow& row : snapshot->rows) store_.apply(row);
  if (snapshot->after <= store_.completeUpTo()) store_.advance(snapshot->completeUpTo);
  return true;
}

}  // namespace covewing::config
