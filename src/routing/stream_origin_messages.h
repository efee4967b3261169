/// \file
/// Messages on the stream-origin channel: a node reports to the homes of a stream which software
/// version of its service began it, and a node that is to continue a stream queries them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

/// A caller's attempt that began a stream, derived from the identifier of its request.
struct StreamTag;
using StreamId = base::NumericId<StreamTag>;
inline StreamId streamIdOf(std::string_view requestId) { return {base::hashName(requestId)}; }

/// By what a stream was begun.
struct StreamOrigin {
  /// Service of the replica that the attempt was sent to.
  std::string service;
  /// Version of that replica's software.
  std::string softwareVersion;
  /// Number of the dispatch within the attempt; only the last one can have begun the stream.
  std::uint32_t dispatch = 0;

  bool operator==(const StreamOrigin&) const = default;
};

struct StreamReport {
  StreamId stream;
  StreamOrigin origin;
  /// Time for which the stream may be continued.
  base::Duration keepFor{};
};

struct StreamQuery {
  /// Chosen by the sender of the query; the reply repeats it.
  std::uint64_t nonce = 0;
  StreamId stream;
  /// Service whose only version is asked for; empty if that would prove nothing.
  std::string service;
};

/// The only software version of a service's replicas, and for how long it has been the only one.
struct SoleVersion {
  std::string softwareVersion;
  base::Duration since{};
  /// How long ago a replica of another version, or of one that was never read, was last listed;
  /// empty if none was, as far as the node has seen. Nodes of earlier builds do not tell.
  std::optional<base::Duration> replacedAgo{};
};

struct StreamReply {
  std::uint64_t nonce = 0;
  /// Empty if the home has no record of the stream.
  std::optional<StreamOrigin> origin;
  /// Empty if the replicas of the service have several versions, or if the home does not know.
  std::optional<SoleVersion> sole;
};

using StreamOriginMessage = std::variant<StreamReport, StreamQuery, StreamReply>;

std::string encode(const StreamOriginMessage& message);
/// Returns nothing if the bytes are not a valid message of this channel.
std::optional<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes);

}  // namespace covewing::routing
