/// \file
/// Quarantine entries and suspects in the table service, so that they outlast a restart of all
/// nodes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/table_client.h"
#include "quarantine/quarantine_messages.h"

namespace covewing::quarantine {

/// What the rows hold.
struct StoredEvidence {
  std::vector<QuarantineEntry> entries;
  std::vector<RequestSuspected> suspects;
};

class QuarantineRows {
 public:
  using Loaded = std::function<void(const StoredEvidence&)>;

  /// All must outlive the rows.
  QuarantineRows(clients::TableClient& table, base::TimerService& timers,
                 base::RandomSource& random, base::EventLog& log)
      : table_(table), timers_(timers), random_(random), log_(log) {}

  /// Reads all rows; repeats until the service answers.
  void load(Loaded loaded);
  /// Keeps an entry unless a later one is kept, or removes the row of one that was lifted. Repeated
  /// a few times while the service does not answer; whoever reads the rows later notices what is
  /// missing.
  void write(const QuarantineEntry& entry);
  /// Keeps a suspect in place of what is kept of it. Repeated as above.
  void write(const RequestSuspected& suspected);
  /// Removes the row of a suspect.
  void removeSuspect(base::RequestFingerprint request);

 private:
  struct Write;
  /// What the row of a suspect shall be; its writes follow each other, so that none undoes a later
  /// one.
  struct SuspectWrite {
    /// Empty: removed.
    std::optional<std::string> value;
    /// What the commit that is under way writes differs from the value by now.
    bool changed = false;
    int attempts = 0;
  };

  StoredEvidence decodeRows(const clients::TableReply& reply);
  void write(base::RequestFingerprint suspect, std::optional<std::string> value);
  void step(base::RequestFingerprint suspect);
  void onWritten(base::RequestFingerprint suspect, const clients::TableReply& reply);
  void step(const std::shared_ptr<Write>& write);
  void onWritten(const std::shared_ptr<Write>& write, const clients::TableReply& reply);
  base::Duration retryDelay(int attempts);

  clients::TableClient& table_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  int loadAttempts_ = 0;
  /// Rows of suspects that are being written.
  std::unordered_map<base::RequestFingerprint, SuspectWrite> suspectWrites_;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::quarantine
