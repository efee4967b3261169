// A table service in memory, reached by all nodes of a test on one thread.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "clients/table_client.h"
#include "clients/table_feed_client.h"

namespace covewing::test_support {

class MemoryTableService final : public clients::TableClient, public clients::TableFeedClient {
 public:
  using Tables = std::map<std::string, std::map<std::string, clients::FeedRow>>;
  /// What the service held at one moment.
  struct Copy {
    Tables tables;
    base::Revision revision = 0;
  };

  /// Transactions write rows of `ownTable`.
  MemoryTableService(base::Clock& clock, base::TimerService& timers, std::string ownTable)
      : clock_(clock), timers_(timers), ownTable_(std::move(ownTable)) {}

  /// Sets a row, or removes it where there is no value.
  void put(const std::string& table, const std::string& key, std::optional<std::string> value) {
    tables_[table][key] = {key, std::move(value), ++revision_};
    answerWaiting(table);
  }
  Copy copy() const { return {tables_, revision_}; }
  /// Comes back from a copy, in the next era; its counter goes on from there, `ahead` further.
  void returnFrom(Copy copy, base::Revision ahead = 0) {
    const auto era = base::eraOf(revision_) + 1;
    const auto inEra = [era](base::Revision revision) {
      return base::revisionAt(era, base::numberOf(revision));
    };
    tables_ = std::move(copy.tables);
    for (auto& [table, rows] : tables_) {
      for (auto& [key, row] : rows) row.revision = inEra(row.revision);
    }
    revision_ = inEra(copy.revision) + ahead;
  }
  /// The rows of the own table whose keys begin with the prefix.
  std::vector<clients::TableRow> ownRows(const std::string& prefix) {
    std::vector<clients::TableRow> rows;
    for (const auto& [key, row] : tables_[ownTable_]) {
      if (key.starts_with(prefix) && row.value) rows.push_back({key, *row.value, row.revision});
    }
    return rows;
  }
  /// The service's clock.
  base::Duration serviceTime() const { return clock_.now().time_since_epoch() + kClockOffset; }

  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    answer(std::move(callback), {clients::TableStatus::kOk, revision_, present(keys)});
  }

  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    if (down) return answer(std::move(callback), {clients::TableStatus::kUnavailable, 0, {}});
    clients::TableReply found{clients::TableStatus::kOk, revision_, ownRows(prefix)};
    std::erase_if(found.rows, [after](const auto& row) { return row.revision <= after; });
    if (found.rows.size() > limit) found.rows.resize(limit);
    answer(std::move(callback), std::move(found));
  }

  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    ++commits;
    if (down) return answer(std::move(callback), {clients::TableStatus::kUnavailable, 0, {}});
    std::vector<std::string> keys;
    bool holds = true;
    for (const auto& condition : transaction.conditions) {
      keys.push_back(condition.key);
      const auto rows = present({condition.key});
      holds = holds && (rows.empty() ? 0 : rows.front().revision) == condition.revision;
    }
    if (!holds) {
      return answer(std::move(callback),
                    {clients::TableStatus::kConflict, revision_, present(keys)});
    }
    for (auto& write : transaction.writes) put(ownTable_, write.key, std::move(write.value));
    answer(std::move(callback), {clients::TableStatus::kOk, revision_, {}});
  }

  void readAll(std::string table, clients::FeedCallback callback) override {
    auto copy = changesBehind(table, 0);
    std::erase_if(copy.rows, [](const clients::FeedRow& row) { return !row.value; });
    timers_.schedule({},
                     [callback = std::move(callback), copy = std::move(copy)] { callback(copy); });
  }

  void changes(std::string table, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override {
    auto waiting = std::make_shared<Waiting>(Waiting{std::move(table), after, std::move(callback)});
    const bool news = !changesBehind(waiting->table, after).rows.empty();
    waiting->timer = timers_.schedule(news ? base::Duration{} : wait, [this, waiting] {
      waiting_.remove(waiting);
      waiting->callback(changesBehind(waiting->table, waiting->after));
    });
    waiting_.push_back(std::move(waiting));
  }

  /// Transactions and scans are refused.
  bool down = false;
  /// Calls that write.
  int commits = 0;

 private:
  static constexpr base::Duration kClockOffset = std::chrono::hours(3);

  /// A call for changes that is held.
  struct Waiting {
    std::string table;
    base::Revision after = 0;
    clients::FeedCallback callback;
    base::TimerId timer = 0;
  };

  std::vector<clients::TableRow> present(const std::vector<std::string>& keys) {
    std::vector<clients::TableRow> rows;
    for (const auto& key : keys) {
      const auto& row = tables_[ownTable_][key];
      if (row.value) rows.push_back({key, *row.value, row.revision});
    }
    return rows;
  }

  clients::FeedReply changesBehind(const std::string& table, base::Revision after) {
    clients::FeedReply reply;
    reply.status = clients::FeedStatus::kOk;
    reply.revision = revision_;
    reply.serviceTime = serviceTime();
    for (const auto& [key, row] : tables_[table]) {
      if (row.revision > after) reply.rows.push_back(row);
    }
    return reply;
  }

  void answerWaiting(const std::string& table) {
    const auto waiting = waiting_;
    for (const auto& call : waiting) {
      if (call->table != table) continue;
      timers_.cancel(call->timer);
      call->timer = timers_.schedule({}, [this, call] {
        waiting_.remove(call);
        call->callback(changesBehind(call->table, call->after));
      });
    }
  }

  void answer(clients::TableCallback callback, clients::TableReply reply) {
    timers_.schedule(
        {}, [callback = std::move(callback), reply = std::move(reply)] { callback(reply); });
  }

  base::Clock& clock_;
  base::TimerService& timers_;
  std::string ownTable_;
  base::Revision revision_ = 0;
  Tables tables_;
  std::list<std::shared_ptr<Waiting>> waiting_;
};

}  // namespace covewing::test_support
