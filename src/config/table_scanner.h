/// \file
/// Periodic scan of the templates in the table service, by the few nodes whose turn it is.
///
/// A scan begins in each period, also while earlier ones are unanswered, up to a few: what a slow
/// service confirms is then old by its delay, not by twice its delay. Without a copy, pages are
/// read one after the other. A scan that fails is repeated after a wait that doubles, with jitter,
/// so that a service that is down or at its limit is not stormed when it comes back.
#pragma once

#include <functional>
#include <memory>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "config/configuration_store.h"

namespace covewing::config {

struct TableScannerOptions {
  base::Duration period = std::chrono::seconds(1);
  base::Duration longestBackoff = std::chrono::seconds(2);
  std::size_t rowsPerScan = 500;
  /// Scans without an answer at any time.
  std::size_t mostUnderWay = 4;
};

class TableScanner {
 public:
  TableScanner(TableScannerOptions options, base::Clock& clock, base::TimerService& timers,
               base::RandomSource& random, base::EventLog& log, clients::TableClient& table,
               ConfigurationStore& store);
  ~TableScanner();
  TableScanner(const TableScanner&) = delete;
  TableScanner& operator=(const TableScanner&) = delete;

  /// Begins or ends scanning. The first scan comes within a period, at a random moment; at once
  /// where there is no copy yet.
  void setActive(bool active);
  bool active() const { return active_; }
  /// Scans now, if it is active and waits for its next turn in a healthy rhythm.
  void hasten();
  /// Scans that failed since the last one that succeeded.
  std::uint32_t failures() const { return failures_; }

 private:
  void scheduleIn(base::Duration delay);
  void onTurn();
  void scan();
  void onFailed();
  void onScanned(base::TimePoint askedAt, const clients::TableReply& reply);

  TableScannerOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  clients::TableClient& table_;
  ConfigurationStore& store_;
  bool active_ = false;
  std::size_t underWay_ = 0;
  std::uint32_t failures_ = 0;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace covewing::config
