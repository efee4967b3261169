/// \file
/// The platform's transactional table service.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "emulator/service_conditions.h"

namespace covewing::emulator {

/// Service limits of the emulated table: 200 calls a second over the whole fleet.
inline constexpr ServiceOptions kTableDefaults{.rateLimit = 200.0, .rateBurst = 200.0};

/// Rows and their revisions. A transaction takes effect half way through its latency, so a caller
/// that gives up early cannot tell whether it did.
class TableModel final : public clients::TableClient {
 public:
  TableModel(const ServiceOptions& options, const base::Clock& clock, base::TimerService& timers,
             base::RandomSource& random)
      : clock_(clock), timers_(timers), random_(random), conditions_(options) {}

  void read(std::vector<std::string> keys, clients::TableCallback callback) override;
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override;
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override;

  ServiceConditions& conditions() { return conditions_; }
  base::Revision revision() const { return revision_; }

  /// The same operations without latency, limits and faults, for set-up and checkers.
  clients::TableReply readNow(const std::vector<std::string>& keys) const;
  clients::TableReply scanNow(const std::string& prefix, base::Revision after,
                              std::size_t limit) const;
  clients::TableReply commitNow(const clients::TableTransaction& transaction);

 private:
  struct StoredRow {
    std::string value;
    base::Revision revision = 0;
  };

  /// Answers refusals; true when the call goes on.
  bool accept(const clients::TableCallback& callback);
  base::Revision revisionOf(const std::string& key) const;
  void apply(const clients::TableWrite& write);
  void answer(clients::TableReply reply, base::Duration delay, clients::TableCallback callback);

  const base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ServiceConditions conditions_;
  std::map<std::string, StoredRow> rows_;
  std::set<std::pair<base::Revision, std::string>> byRevision_;
  base::Revision revision_ = 0;
};

}  // namespace covewing::emulator
