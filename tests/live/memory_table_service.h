// A table service in memory, reached by all nodes of a test on one io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clients/table_client.h"
#include "clients/table_feed_client.h"
#include "live/asio_runtime.h"

namespace covewing::live {

class MemoryTableService final : public clients::TableClient, public clients::TableFeedClient {
 public:
  /// Transactions write rows of `ownTable`.
  MemoryTableService(boost::asio::io_context& context, std::string ownTable)
      : context_(context), ownTable_(std::move(ownTable)) {}

  /// Sets a row, or removes it where there is no value.
  void put(const std::string& table, const std::string& key, std::optional<std::string> value) {
    tables_[table][key] = {key, std::move(value), ++revision_};
    answerWaiting(table);
  }

  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    reply(std::move(callback), {clients::TableStatus::kOk, revision_, present(keys)});
  }

  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    clients::TableReply found{clients::TableStatus::kOk, revision_, {}};
    for (const auto& [key, row] : tables_[ownTable_]) {
      if (key.starts_with(prefix) && row.value && row.revision > after && found.rows.size() < limit)
        found.rows.push_back({key, *row.value, row.revision});
    }
    reply(std::move(callback), std::move(found));
  }

  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    std::vector<std::string> keys;
    bool holds = true;
    for (const auto& condition : transaction.conditions) {
      keys.push_back(condition.key);
      const auto rows = present({condition.key});
      holds = holds && (rows.empty() ? 0 : rows.front().revision) == condition.revision;
    }
    if (!holds)
      return reply(std::move(callback),
                   {clients::TableStatus::kConflict, revision_, present(keys)});
    for (auto& write : transaction.writes) put(ownTable_, write.key, std::move(write.value));
    reply(std::move(callback), {clients::TableStatus::kOk, revision_, {}});
  }

  void readAll(std::string table, clients::FeedCallback callback) override {
    auto answer = reply(table, 0);
    std::erase_if(answer.rows, [](const clients::FeedRow& row) { return !row.value; });
    post(std::move(callback), std::move(answer));
  }

  void changes(std::string table, base::Revision after, base::Duration wait,
               clients::FeedCallback callback) override {
    auto answer = reply(table, after);
    if (!answer.rows.empty()) return post(std::move(callback), std::move(answer));
    auto waiting = std::make_shared<Waiting>(context_, std::move(table), after);
    waiting->callback = std::move(callback);
    waiting->timer.expires_after(wait);
    waiting->timer.async_wait([this, waiting](boost::system::error_code) {
      waiting_.remove(waiting);
      waiting->callback(reply(waiting->table, waiting->after));
    });
    waiting_.push_back(std::move(waiting));
  }

 private:
  /// A call for changes that is held.
  struct Waiting {
    Waiting(boost::asio::io_context& context, std::string watched, base::Revision behind)
        : timer(context), table(std::move(watched)), after(behind) {}
    boost::asio::steady_timer timer;
    std::string table;
    base::Revision after;
    clients::FeedCallback callback;
  };

  std::vector<clients::TableRow> present(const std::vector<std::string>& keys) {
    std::vector<clients::TableRow> rows;
    for (const auto& key : keys) {
      const auto& row = tables_[ownTable_][key];
      if (row.value) rows.push_back({key, *row.value, row.revision});
    }
    return rows;
  }

  clients::FeedReply reply(const std::string& table, base::Revision after) {
    clients::FeedReply answer;
    answer.status = clients::FeedStatus::kOk;
    answer.revision = revision_;
    answer.serviceTime = AsioClock{}.now().time_since_epoch();
    for (const auto& [key, row] : tables_[table]) {
      if (row.revision > after) answer.rows.push_back(row);
    }
    return answer;
  }

  void answerWaiting(const std::string& table) {
    for (const auto& waiting : waiting_) {
      if (waiting->table == table) waiting->timer.cancel();
    }
  }

  void reply(clients::TableCallback callback, clients::TableReply answer) {
    boost::asio::post(context_, [callback = std::move(callback), answer = std::move(answer)] {
      callback(answer);
    });
  }
  void post(clients::FeedCallback callback, clients::FeedReply answer) {
    boost::asio::post(context_, [callback = std::move(callback), answer = std::move(answer)] {
      callback(answer);
    });
  }

  boost::asio::io_context& context_;
  std::string ownTable_;
  base::Revision revision_ = 0;
  std::map<std::string, std::map<std::string, clients::FeedRow>> tables_;
  std::list<std::shared_ptr<Waiting>> waiting_;
};

}  // namespace covewing::live
