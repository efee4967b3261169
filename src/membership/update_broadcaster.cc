#include "membership/update_broadcaster.h"

#include <algorithm>
#include <cmath>

namespace covewing::membership {

namespace {
/// IP and UDP headers, and the frame around a payload.
constexpr double kMessageOverhead = 48;
}  // namespace

UpdateBroadcaster::UpdateBroadcaster(UpdateBroadcasterOptions options, const MemberTable& members,
                                     const RecordTable& records)
    : options_(options),
      memberTable_(members),
      recordTable_(records),
      budget_(options.burstBytes) {}

UpdateBatch UpdateBroadcaster::take(std::size_t maximumBytes) {
  PackedWriter updates;
  members_.take(updates, maximumBytes, transmissions(),
                [this](base::NodeId id, PackedWriter& writer) { encodeMember(id, writer); });
  PackedWriter records;
  records_.take(
      records, maximumBytes - std::min(maximumBytes, updates.size()), transmissions(),
      [this](const std::string& key, PackedWriter& writer) { encodeRecord(key, writer); });
  return {updates.take(), records.take()};
}

UpdateBatch UpdateBroadcaster::takeWithinBudget(std::size_t maximumBytes) {
  UpdateBatch batch = take(maximumBytes);
  budget_ -= kMessageOverhead + static_cast<double>(batch.members.size() + batch.records.size());
  return batch;
}

void UpdateBroadcaster::refill(base::Duration elapsed) {
  budget_ =
      std::min(budget_ + base::toSeconds(elapsed) * options_.bytesPerSecond, options_.burstBytes);
}

std::uint32_t UpdateBroadcaster::transmissions() const {
  const double scale = std::log10(static_cast<double>(memberTable_.live().size()) + 1);
  const auto wanted = static_cast<std::uint32_t>(std::ceil(options_.transmissionFactor * scale));
  return std::max(wanted, options_.leastTransmissions);
}

void UpdateBroadcaster::encodeMember(base::NodeId id, PackedWriter& writer) const {
  const Member* member = memberTable_.find(id);
  if (member == nullptr) return;
  const std::uint32_t sequence = memberTable_.sequenceOf(id);
  // A member that raised its sequence is known to nearly all already.
  const bool introduce = sequence == 0 && member->state == MemberState::kAlive;
  encode(introduce ? fullUpdate(*member, sequence) : compactUpdate(*member, sequence), writer);
}

void UpdateBroadcaster::encodeRecord(const std::string& key, PackedWriter& writer) const {
  if (const auto record = recordTable_.find(key)) encode(*record, writer);
}

}  // namespace covewing::membership
