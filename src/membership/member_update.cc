#include "membership/member_update.h"

namespace covewing::membership {

namespace {

constexpr std::uint8_t kStateBits = 0x3;
constexpr std::uint8_t kDrainingBit = 0x4;
constexpr std::uint8_t kFullBit = 0x8;
constexpr unsigned kPortBits = 16;

std::uint8_t flagsOf(const MemberUpdate& update) {
  auto flags = static_cast<std::uint8_t>(update.version.state);
  if (update.draining) flags |= kDrainingBit;
  if (update.full) flags |= kFullBit;
  return flags;
}

MemberUpdate decodeMemberUpdate(PackedReader& reader) {
  MemberUpdate update;
  update.id.value = reader.fixed64();
  const std::uint8_t flags = reader.byte();
  update.version.state = static_cast<MemberState>(flags & kStateBits);
  update.draining = (flags & kDrainingBit) != 0;
  update.full = (flags & kFullBit) != 0;
  update.version.incarnation = reader.variable();
  update.version.sequence = static_cast<std::uint32_t>(reader.variable());
  if (!update.full) return update;
  const std::uint64_t endpoint = reader.variable();
  update.endpoint.port = static_cast<std::uint16_t>(endpoint);
  update.endpoint.address = static_cast<std::uint32_t>(endpoint >> kPortBits);
  update.name = reader.text();
  update.zone = reader.text();
  update.region = reader.text();
  return update;
}

}  // namespace

MemberUpdate fullUpdate(const Member& member, std::uint32_t sequence) {
  MemberUpdate update = compactUpdate(member, sequence);
  update.full = true;
  update.name = member.name;
  update.endpoint = member.endpoint;
  update.zone = member.zone;
  update.region = member.region;
  return update;
}

MemberUpdate compactUpdate(const Member& member, std::uint32_t sequence) {
  MemberUpdate update;
  update.id = member.id;
  update.version = {member.incarnation, sequence, member.state};
  update.draining = member.draining;
  return update;
}

void encode(const MemberUpdate& update, PackedWriter& writer) {
  writer.fixed64(update.id.value);
  writer.byte(flagsOf(update));
  writer.variable(update.version.incarnation);
  writer.variable(update.version.sequence);
  if (!update.full) return;
  writer.variable(static_cast<std::uint64_t>(update.endpoint.address) << kPortBits |
                  update.endpoint.port);
  writer.text(update.name);
  writer.text(update.zone);
  writer.text(update.region);
}

std::vector<MemberUpdate> decodeMemberUpdates(std::string_view bytes) {
  std::vector<MemberUpdate> updates;
  PackedReader reader(bytes);
  while (reader.more()) {
    MemberUpdate update = decodeMemberUpdate(reader);
    if (!reader.ok()) break;
    const bool sound = !update.full || base::nodeIdOf(update.name) == update.id;
    if (sound) updates.push_back(std::move(update));
  }
  return updates;
}

}  // namespace covewing::membership
