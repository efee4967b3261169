#include "coordination/lease_messages.h"

#include "base/codec.h"

namespace covewing::coordination {

namespace {

constexpr std::uint32_t kAnnouncementFields = 8;
/// Older builds leave out the last two fields: the holder's address and `settled`.
constexpr std::uint32_t kOlderAnnouncementFields = 6;
constexpr std::uint32_t kReplicaChangeFields = 4;

std::optional<LeaseAnnouncement> readAnnouncement(base::Reader& reader, std::uint32_t fields) {
  LeaseAnnouncement announcement;
  announcement.revision = reader.unsignedInteger();
  announcement.tenureRevision = reader.unsignedInteger();
  announcement.row.holder = reader.text();
  announcement.row.incarnation = reader.unsignedInteger();
  announcement.row.token = reader.unsignedInteger();
  if (fields > kOlderAnnouncementFields) {
    announcement.row.address = reader.text();
    announcement.row.settled = reader.boolean();
  }
  if (!reader.ok()) return std::nullopt;
  return announcement;
}

std::optional<membership::GossipRecord> readRecord(base::Reader& reader) {
  membership::GossipRecord record;
  record.key = reader.text();
  record.version = reader.unsignedInteger();
  record.value = reader.text();
  const bool fits = record.value.size() <= membership::RecordDissemination::kMaximumValue;
  if (!reader.ok() || !fits) return std::nullopt;
  return record;
}

}  // namespace

std::string encodeCoordinationMessage(CoordinationMessageType type) {
  base::Writer writer;
  writer.array(1).unsignedInteger(static_cast<std::uint64_t>(type));
  return writer.take();
}

std::string encodeLeaseWritten(const LeaseAnnouncement& announcement) {
  base::Writer writer;
  writer.array(kAnnouncementFields)
      .unsignedInteger(static_cast<std::uint64_t>(CoordinationMessageType::kLeaseWritten))
      .unsignedInteger(announcement.revision)
      .unsignedInteger(announcement.tenureRevision)
      .text(announcement.row.holder)
      .unsignedInteger(announcement.row.incarnation)
      .unsignedInteger(announcement.row.token)
      .text(announcement.row.address)
      .boolean(announcement.row.settled);
  return writer.take();
}

std::string encodeReplicaChange(const membership::GossipRecord& record) {
  base::Writer writer;
  writer.array(kReplicaChangeFields)
      .unsignedInteger(static_cast<std::uint64_t>(CoordinationMessageType::kReplicaChange))
      .text(record.key)
      .unsignedInteger(record.version)
      .text(record.value);
  return writer.take();
}

std::optional<CoordinationMessage> decodeCoordinationMessage(std::string_view payload) {
  base::Reader reader(payload);
  const auto fields = reader.beginArray();
  CoordinationMessage message;
  message.type = static_cast<CoordinationMessageType>(reader.unsignedInteger());
  if (!reader.ok()) return std::nullopt;
  switch (message.type) {
    case CoordinationMessageType::kLeaseReleased:
    case CoordinationMessageType::kOrdersChanged:
      return message;
    case CoordinationMessageType::kLeaseWritten:
      message.announcement = readAnnouncement(reader, fields);
      if (message.announcement) return message;
      break;
    case CoordinationMessageType::kReplicaChange:
      message.record = readRecord(reader);
      if (message.record) return message;
      break;
  }
  return std::nullopt;
}

void sendToCandidates(base::PeerTransport& peers, const LeaseManager& lease, base::NodeId self,
                      const std::string& payload) {
  for (const membership::Member& member : lease.candidates()) {
    if (member.id != self) peers.send(member.endpoint, base::Channel::kCoordination, payload);
  }
}

}  // namespace covewing::coordination
