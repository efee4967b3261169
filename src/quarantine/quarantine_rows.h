/// \file
/// Stores quarantine entries and suspects in the table service, so that they survive a restart of
/// all nodes.
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

/// Decoded contents of the rows.
struct StoredEvidence {
  std::vector<QuarantineEntry> entries;
  std::vector<RequestSuspected> suspects;
};

class QuarantineRows {
 public:
  using Loaded = std::function<void(const StoredEvidence&)>;

  /// All arguments must outlive the object.
  QuarantineRows(clients::TableClient& table, base::TimerService& timers,
                 base::RandomSource& random, base::EventLog& log)
      : table_(table), timers_(timers), random_(random), log_(log) {}

  /// Reads all rows; retries until the service responds.
  void load(Loaded loaded);
  /// Stores an entry unless the row has a later one, or removes the row of a lifted entry. Retried
  /// a limited number of times while the service is unavailable; a node that reads the rows later
  /// restores what is missing.
  void write(const QuarantineEntry& entry);
  /// Stores a suspect, replacing its previous row. Retried as above.
  void write(const RequestSuspected& suspected);
  /// Removes the row of a suspect.
  void removeSuspect(base::RequestFeature feature);

 private:
  struct Write;
  /// Pending state of a suspect's row. The writes of a row are serialized, so that none overwrites
  /// a later one.
  struct SuspectWrite {
    /// Empty if the row is to be removed.
    std::optional<std::string> value;
    /// The value changed after the commit in flight was sent.
    bool changed = false;
    int attempts = 0;
  };

  StoredEvidence decodeRows(const clients::TableReply& reply);
  void write(base::RequestFeature suspect, std::optional<std::string> value);
  void step(base::RequestFeature suspect);
  void onWritten(base::RequestFeature suspect, const clients::TableReply& reply);
  void step(const std::shared_ptr<Write>& write);
  void onWritten(const std::shared_ptr<Write>& write, const clients::TableReply& reply);
  base::Duration retryDelay(int attempts);

  clients::TableClient& table_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  int loadAttempts_ = 0;
  /// Suspects whose rows are being written.
  std::unordered_map<base::RequestFeature, SuspectWrite> suspectWrites_;
  /// Lets callbacks detect that this object was destroyed.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::quarantine
