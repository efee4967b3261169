/// \file
/// The table service with what eras ask of its users (config/store_eras.h): nothing that was read
/// before a return of the service decides a transaction after it.
///
/// The service itself compares numbers, which it gives out again. So a condition on a row of a
/// former era is sent as one that cannot hold: its answer, a conflict, names the rows as they are
/// now. A transaction whose conditions were of an era that ended before it was done counts as
/// unknown and is read back by its nonce, like one without an answer. Replies of a former era are
/// no news.
#pragma once

#include <string>
#include <vector>

#include "clients/table_client.h"
#include "config/store_eras.h"

namespace covewing::config {

class EraCheckedTable final : public clients::TableClient {
 public:
  /// Both must outlive the table and be used on its thread.
  EraCheckedTable(clients::TableClient& service, const StoreEras& eras)
      : service_(service), eras_(eras) {}

  void read(std::vector<std::string> keys, clients::TableCallback callback) override;
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override;
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override;

 private:
  /// The reply is of a history that has ended.
  bool isFormer(const clients::TableReply& reply) const;
  clients::TableCallback checkingRead(clients::TableCallback callback) const;

  clients::TableClient& service_;
  const StoreEras& eras_;
};

}  // namespace covewing::config
