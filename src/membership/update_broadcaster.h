/// \file
/// The updates and records that a node still has to pass on, and how much of them it may send in
/// messages of their own.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "membership/broadcast_queue.h"
#include "membership/member_table.h"
#include "membership/membership_message.h"
#include "membership/record_table.h"

namespace covewing::membership {

struct UpdateBroadcasterOptions {
  /// Each update is sent this many times log10(members + 1), rounded up, by each node, and
  /// at least `leastTransmissions` times. A node that all others miss so often, less than one in a
  /// hundred, learns by the next comparison.
  double transmissionFactor = 1.5;
  std::uint32_t leastTransmissions = 5;
  /// Bound of the updates that a node sends in messages of their own, headers included, sustained
  /// and at once.
  double bytesPerSecond = 2'000;
  double burstBytes = 1'500;
};

class UpdateBroadcaster {
 public:
  UpdateBroadcaster(UpdateBroadcasterOptions options, const MemberTable& members,
                    const RecordTable& records);

  void add(base::NodeId member) { members_.add(member); }
  void add(const std::string& recordKey) { records_.add(recordKey); }
  bool empty() const { return members_.empty() && records_.empty(); }

  /// The updates to be sent next, the least often sent first, within `maximumBytes`.
  UpdateBatch take(std::size_t maximumBytes);
  /// The same for a message that carries nothing else: counted against the bound.
  UpdateBatch takeWithinBudget(std::size_t maximumBytes);
  bool hasBudget() const { return budget_ > 0; }
  /// Refills the bound for the time that has passed.
  void refill(base::Duration elapsed);

 private:
  std::uint32_t transmissions() const;
  void encodeMember(base::NodeId id, PackedWriter& writer) const;
  void encodeRecord(const std::string& key, PackedWriter& writer) const;

  UpdateBroadcasterOptions options_;
  const MemberTable& memberTable_;
  const RecordTable& recordTable_;
  BroadcastQueue<base::NodeId> members_;
  BroadcastQueue<std::string> records_;
  double budget_;
};

}  // namespace covewing::membership
