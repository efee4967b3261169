/// \file
/// Quarantine entries in the table service, so that they outlast a restart of all nodes.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "quarantine/quarantine_messages.h"

namespace covewing::quarantine {

class QuarantineRows {
 public:
  using Loaded = std::function<void(const std::vector<QuarantineEntry>&)>;

  /// All must outlive the rows.
  QuarantineRows(clients::TableClient& table, base::TimerService& timers,
                 base::RandomSource& random, base::EventLog& log)
      : table_(table), timers_(timers), random_(random), log_(log) {}

  /// Reads all entries; repeats until the service answers.
  void load(Loaded loaded);
  /// Keeps an entry unless a later one is kept, or removes the row of one that was lifted. Repeated
  /// a few times while the service does not answer; whoever reads the rows later notices what is
  /// missing.
  void write(const QuarantineEntry& entry);

 private:
  struct Write;

  std::vector<QuarantineEntry> entriesIn(const clients::TableReply& reply);
  void step(const std::shared_ptr<Write>& write);
  void onWritten(const std::shared_ptr<Write>& write, const clients::TableReply& reply);
  base::Duration pause(int attempts);

  clients::TableClient& table_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  int loads_ = 0;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::quarantine
