#include "config/configuration_snapshot.h"

#include "base/codec.h"
#include "config/configuration_message.h"
#include "config/sha256.h"

namespace covewing::config {

namespace {
constexpr std::uint64_t kSnapshotVersion = 1;
constexpr std::uint32_t kSnapshotFields = 4;
}  // namespace

std::string encode(const ConfigurationSnapshot& snapshot) {
  base::Writer writer;
  writer.array(kSnapshotFields)
      .unsignedInteger(kSnapshotVersion)
      .unsignedInteger(snapshot.after)
      .unsignedInteger(snapshot.completeUpTo)
      .binary(packRows(snapshot.rows));
  const std::string body = writer.take();
  return sha256(body) + body;
}

std::optional<ConfigurationSnapshot> decodeSnapshot(std::string_view bytes, base::Reason& reason) {
  reason = {base::ResultCode::kMessageMalformed, "the snapshot's hash does not fit its bytes"};
  if (bytes.size() < kSha256Length) return std::nullopt;
  const std::string_view body = bytes.substr(kSha256Length);
  if (sha256(body) != bytes.substr(0, kSha256Length)) return std::nullopt;
  base::Reader reader(body);
  reader.beginArray();
  if (reader.unsignedInteger() != kSnapshotVersion) {
    reason = {base::ResultCode::kMessageVersion, "the snapshot is of another version"};
    return std::nullopt;
  }
  ConfigurationSnapshot snapshot;
  snapshot.after = reader.unsignedInteger();
  snapshot.completeUpTo = reader.unsignedInteger();
  auto rows = unpackRows(reader.binary());
  if (!reader.ok() || !rows) return std::nullopt;
  snapshot.rows = std::move(*rows);
  reason = {};
  return snapshot;
}

}  // namespace covewing::config
