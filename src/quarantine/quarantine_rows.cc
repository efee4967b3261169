#include "quarantine/quarantine_rows.h"

#include <algorithm>
#include <utility>

namespace covewing::quarantine {

namespace {

/// Rows read at once: more than are quarantined within the lifetime of an entry.
constexpr std::size_t kMostRows = 4096;
constexpr base::Duration kFirstPause = std::chrono::milliseconds(100);
constexpr base::Duration kLongestPause = std::chrono::seconds(5);
constexpr double kJitter = 0.5;
constexpr int kWriteAttempts = 10;

}  // namespace

struct QuarantineRows::Write {
  QuarantineEntry entry;
  /// Revision of the row that is replaced; 0: none.
  base::Revision expected = 0;
  int attempts = 0;
};

base::Duration QuarantineRows::pause(int attempts) {
  auto pause = kFirstPause;
  for (int attempt = 1; attempt < attempts && pause < kLongestPause; ++attempt) pause *= 2;
  return random_.jittered(std::min(pause, kLongestPause), kJitter);
}

void QuarantineRows::load(Loaded loaded) {
  table_.scan(std::string{kQuarantineKeyPrefix}, 0, kMostRows,
              [this, loaded = std::move(loaded),
               alive = std::weak_ptr(lifetime_)](const clients::TableReply& reply) {
                if (alive.expired()) return;
                if (reply.status != clients::TableStatus::kOk) {
                  timers_.schedule(pause(++loads_), [this, loaded, alive] {
                    if (!alive.expired()) load(loaded);
                  });
                  return;
                }
                loads_ = 0;
                loaded(entriesIn(reply));
              });
}

std::vector<QuarantineEntry> QuarantineRows::entriesIn(const clients::TableReply& reply) {
  std::vector<QuarantineEntry> entries;
  for (const auto& row : reply.rows) {
    if (const auto entry = decodeQuarantineEntry(row.value)) {
      entries.push_back(*entry);
    } else {
      log_.write(base::Event::kMessageRejected,
                 {{"what", "quarantine row"}, {"row", row.key}, {"why", "it is malformed"}});
    }
  }
  return entries;
}

void QuarantineRows::write(const QuarantineEntry& entry) {
  step(std::make_shared<Write>(Write{entry}));
}

void QuarantineRows::step(const std::shared_ptr<Write>& write) {
  const auto key = keyOf(write->entry.request);
  if (++write->attempts > kWriteAttempts) {
    log_.write(base::Event::kPlatformUnavailable,
               {{"what", "quarantine row"}, {"row", key}, {"why", "it could not be written"}});
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
    const auto kept = entriesIn(reply);
    if (!kept.empty() && kept.front().version() >= write->entry.version()) return;
    write->expected = reply.rows.empty() ? 0 : reply.rows.front().revision;
  }
  timers_.schedule(pause(write->attempts), [this, write, alive = std::weak_ptr(lifetime_)] {
    if (!alive.expired()) step(write);
  });
}

}  // namespace covewing::quarantine
