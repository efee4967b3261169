#include "quarantine/quarantine_rows.h"

#include <algorithm>
#include <utility>

namespace covewing::quarantine {

namespace {

/// Maximum number of rows read at once: more than are quarantined within the lifetime of an entry.
constexpr std::size_t kMaximumRows = 4096;
constexpr base::Duration kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr base::Duration kMaximumRetryDelay = std::chrono::seconds(5);
constexpr double kJitter = 0.5;
constexpr int kWriteAttempts = 10;

}  // namespace

struct QuarantineRows::Write {
  QuarantineEntry entry;
  /// Revision of the row that is replaced; 0 if there is none.
  base::Revision expected = 0;
  int attempts = 0;
};

base::Duration QuarantineRows::retryDelay(int attempts) {
  auto delay = kInitialRetryDelay;
  for (int attempt = 1; attempt < attempts && delay < kMaximumRetryDelay; ++attempt) delay *= 2;
  return random_.jittered(std::min(delay, kMaximumRetryDelay), kJitter);
}

void QuarantineRows::load(Loaded loaded) {
  table_.scan(std::string{kQuarantineRowsPrefix}, 0, kMaximumRows,
              [this, loaded = std::move(loaded),
               alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                if (alive.expired()) return;
                if (reply.status != clients::TableStatus::kOk) {
                  timers_.schedule(retryDelay(++loadAttempts_), [this, loaded, alive] {
                    if (!alive.expired()) load(loaded);
                  });
                  return;
                }
                loadAttempts_ = 0;
                loaded(decodeRows(reply));
              });
}

StoredEvidence QuarantineRows::decodeRows(const clients::TableReply& reply) {
  StoredEvidence evidence;
  for (const auto& row : reply.rows) {
    const auto message = decodeQuarantineMessage(row.value);
    if (message && std::holds_alternative<QuarantineEntry>(*message)) {
      evidence.entries.push_back(std::get<QuarantineEntry>(*message));
    } else if (message && std::holds_alternative<RequestSuspected>(*message)) {
      evidence.suspects.push_back(std::get<RequestSuspected>(*message));
    } else {
      log_.write(base::Event::kMessageRejected,
                 {{"what", "quarantine row"}, {"row", row.key}, {"why", "malformed"}});
    }
  }
  return evidence;
}

void QuarantineRows::write(const QuarantineEntry& entry) {
  step(std::make_shared<Write>(Write{entry}));
}

void QuarantineRows::step(const std::shared_ptr<Write>& write) {
  const auto key = keyOf(write->entry.feature);
  if (++write->attempts > kWriteAttempts) {
    log_.write(
        base::Event::kPlatformUnavailable,
        {{"what", "quarantine row"}, {"row", key}, {"why", "not written after the last attempt"}});
    return;
  }
  clients::TableTransaction transaction;
  if (write->entry.lifted) {
    transaction.writes = {{key, std::nullopt}};
  } else {
    transaction.conditions = {{key, write->expected}};
    transaction.writes = {{key, encode(write->entry)}};
  }
  table_.commit(std::move(transaction),
                [this, write, alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                  if (!alive.expired()) onWritten(write, reply);
                });
}

void QuarantineRows::onWritten(const std::shared_ptr<Write>& write,
                               const clients::TableReply& reply) {
  if (reply.status == clients::TableStatus::kOk) return;
  if (reply.status == clients::TableStatus::kConflict) {
    const auto stored = decodeRows(reply).entries;
    if (!stored.empty() && stored.front().version() >= write->entry.version()) return;
    write->expected = reply.rows.empty() ? 0 : reply.rows.front().revision;
  }
  timers_.schedule(retryDelay(write->attempts), [this, write, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) step(write);
  });
}

void QuarantineRows::write(const RequestSuspected& suspected) {
  write(suspected.feature, encode(suspected));
}

void QuarantineRows::removeSuspect(base::RequestFeature feature) { write(feature, std::nullopt); }

void QuarantineRows::write(base::RequestFeature suspect, std::optional<std::string> value) {
  const auto [found, added] = suspectWrites_.try_emplace(suspect);
  found->second.value = std::move(value);
  found->second.changed = !added;
  if (added) step(suspect);
}

void QuarantineRows::step(base::RequestFeature suspect) {
  auto& write = suspectWrites_.at(suspect);
  const auto key = suspectKeyOf(suspect);
  if (++write.attempts > kWriteAttempts) {
    log_.write(
        base::Event::kPlatformUnavailable,
        {{"what", "suspect row"}, {"row", key}, {"why", "not written after the last attempt"}});
    suspectWrites_.erase(suspect);
    return;
  }
  write.changed = false;
  clients::TableTransaction transaction;
  transaction.writes = {{key, write.value}};
  table_.commit(std::move(transaction), [this, suspect, alive = std::weak_ptr(lifetime_)](
                                            const clients::TableReply& reply) {
    if (!alive.expired()) onWritten(suspect, reply);
  });
}

void QuarantineRows::onWritten(base::RequestFeature suspect, const clients::TableReply& reply) {
  auto& write = suspectWrites_.at(suspect);
  if (reply.status == clients::TableStatus::kOk) {
    write.attempts = 0;
    if (!write.changed) {
      suspectWrites_.erase(suspect);
    } else {
      step(suspect);
    }
    return;
  }
  timers_.schedule(retryDelay(write.attempts), [this, suspect, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) step(suspect);
  });
}

}  // namespace covewing::quarantine
