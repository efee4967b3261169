#include "emulator/table_model.h"

namespace covewing::emulator {

using clients::TableReply;
using clients::TableRow;
using clients::TableStatus;

bool TableModel::accept(const clients::TableCallback& callback) {
  if (conditions_.isDown()) {
    answer(TableReply{TableStatus::kUnavailable, 0, {}}, base::Duration{0}, callback);
    return false;
  }
  if (!conditions_.admit(clock_.now())) {
    answer(TableReply{TableStatus::kRateLimited, 0, {}}, base::Duration{0}, callback);
    return false;
  }
  return true;
}

void TableModel::answer(TableReply reply, base::Duration delay, clients::TableCallback callback) {
  timers_.schedule(delay, [reply = std::move(reply), callback = std::move(callback)]() mutable {
    callback(std::move(reply));
  });
}

void TableModel::read(std::vector<std::string> keys, clients::TableCallback callback) {
  if (!accept(callback)) return;
  const base::Duration half = conditions_.drawLatency(random_) / 2;
  timers_.schedule(half, [this, half, keys = std::move(keys), callback = std::move(callback)] {
    answer(readNow(keys), half, callback);
  });
}

void TableModel::scan(std::string prefix, base::Revision after, std::size_t limit,
                      clients::TableCallback callback) {
  if (!accept(callback)) return;
  const base::Duration half = conditions_.drawLatency(random_) / 2;
  timers_.schedule(
      half, [this, half, prefix = std::move(prefix), after, limit, callback = std::move(callback)] {
        answer(scanNow(prefix, after, limit), half, callback);
      });
}

void TableModel::commit(clients::TableTransaction transaction, clients::TableCallback callback) {
  if (!accept(callback)) return;
  const base::Duration half = conditions_.drawLatency(random_) / 2;
  timers_.schedule(
      half, [this, half, transaction = std::move(transaction), callback = std::move(callback)] {
        TableReply reply = commitNow(transaction);
        if (conditions_.drawAnswerLoss(random_)) reply = TableReply{TableStatus::kUnknown, 0, {}};
        answer(std::move(reply), half, callback);
      });
}

TableReply TableModel::readNow(const std::vector<std::string>& keys) const {
  TableReply reply{TableStatus::kOk, revision_, {}};
  for (const std::string& key : keys) {
    const auto row = rows_.find(key);
    if (row == rows_.end()) continue;
    reply.rows.push_back(TableRow{key, row->second.value, row->second.revision});
  }
  return reply;
}

TableReply TableModel::scanNow(const std::string& prefix, base::Revision after,
                               std::size_t limit) const {
  TableReply reply{TableStatus::kOk, revision_, {}};
  const auto begin = byRevision_.lower_bound({after + 1, std::string()});
  for (auto entry = begin; entry != byRevision_.end(); ++entry) {
    const auto& [revision, key] = *entry;
    if (!key.starts_with(prefix)) continue;
    // Rows of one transaction stay together: a scan that goes on behind it must not miss any.
    if (reply.rows.size() >= limit && !reply.rows.empty() &&
        reply.rows.back().revision != revision) {
      reply.revision = reply.rows.back().revision;
      return reply;
    }
    reply.rows.push_back(TableRow{key, rows_.at(key).value, revision});
  }
  return reply;
}

base::Revision TableModel::revisionOf(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? 0 : row->second.revision;
}

TableReply TableModel::commitNow(const clients::TableTransaction& transaction) {
  for (const clients::TableCondition& condition : transaction.conditions) {
    if (revisionOf(condition.key) == condition.revision) continue;
    std::vector<std::string> keys;
    for (const auto& each : transaction.conditions) keys.push_back(each.key);
    TableReply conflict = readNow(keys);
    conflict.status = TableStatus::kConflict;
    return conflict;
  }
  ++revision_;
  for (const clients::TableWrite& write : transaction.writes) apply(write);
  return TableReply{TableStatus::kOk, revision_, {}};
}

void TableModel::apply(const clients::TableWrite& write) {
  const auto old = rows_.find(write.key);
  if (old != rows_.end()) {
    byRevision_.erase({old->second.revision, write.key});
    rows_.erase(old);
  }
  if (!write.value) return;
  rows_.emplace(write.key, StoredRow{*write.value, revision_});
  byRevision_.emplace(revision_, write.key);
}

}  // namespace covewing::emulator
