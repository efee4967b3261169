#include "config/era_checked_table.h"

#include <algorithm>
#include <utility>

namespace covewing::config {

namespace {

bool hasContents(clients::TableStatus status) {
  return status == clients::TableStatus::kOk || status == clients::TableStatus::kConflict;
}

/// Some condition names a revision, which is of the era in which it was read.
bool namesRevisions(const clients::TableTransaction& transaction) {
  return std::ranges::any_of(transaction.conditions,
                             [](const auto& condition) { return condition.revision != 0; });
}

}  // namespace

bool EraCheckedTable::isFormer(const clients::TableReply& reply) const {
  return hasContents(reply.status) && base::eraOf(reply.revision) < eras_.current();
}

clients::TableCallback EraCheckedTable::checkingRead(clients::TableCallback callback) const {
  return [this, callback = std::move(callback)](clients::TableReply reply) {
    if (isFormer(reply)) reply = {clients::TableStatus::kUnavailable, 0, {}};
    callback(std::move(reply));
  };
}

void EraCheckedTable::read(std::vector<std::string> keys, clients::TableCallback callback) {
  service_.read(std::move(keys), checkingRead(std::move(callback)));
}

void EraCheckedTable::scan(std::string prefix, base::Revision after, std::size_t limit,
                           clients::TableCallback callback) {
  service_.scan(std::move(prefix), after, limit, checkingRead(std::move(callback)));
}

void EraCheckedTable::commit(clients::TableTransaction transaction,
                             clients::TableCallback callback) {
  const auto era = eras_.current();
  for (auto& condition : transaction.conditions) {
    const bool ofFormerEra = condition.revision != 0 && base::eraOf(condition.revision) < era;
    // No row has this number.
    if (ofFormerEra) condition.revision = base::revisionAt(era, base::kLargestRevisionNumber);
  }
  const bool bound = namesRevisions(transaction);
  service_.commit(std::move(transaction),
                  [this, era, bound, callback = std::move(callback)](clients::TableReply reply) {
                    const bool doneInLaterEra = bound &&
                                                reply.status == clients::TableStatus::kOk &&
                                                base::eraOf(reply.revision) != era;
                    if (isFormer(reply) || doneInLaterEra)
                      reply = {clients::TableStatus::kUnknown, 0, {}};
                    callback(std::move(reply));
                  });
}

}  // namespace covewing::config
