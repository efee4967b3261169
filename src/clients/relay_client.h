/// \file
/// Relaying of whole HTTP requests to replicas: the request as the caller sent it, what the node
/// adds to it, and the answer as it arrives.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/back_end.h"
#include "clients/rate_limit_notice.h"
#include "clients/replica_target.h"
#include "clients/shared_body.h"

namespace covewing::clients {

/// A caller's request, shared by all attempts. Headers are those that travel on.
struct RelayedRequest {
  std::string id;
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::vector<HeaderField> headers;
  /// Shared by all attempts.
  SharedBody body;
};

using RelayedRequestPtr = std::shared_ptr<const RelayedRequest>;

/// What the node tells a replica with one attempt.
struct DispatchTerms {
  explicit DispatchTerms(ReplicaTarget target) : replica(std::move(target)) {}

  /// Whoever is at the address must be this run of the replica, or refuse.
  ReplicaTarget replica;
  /// The replica must serve this version of the weights, or refuse.
  std::optional<base::WeightsVersion> expectedVersion;
  /// Time until the caller or the route gives up.
  base::Duration timeLeft{};
  /// Empty on routes without a key.
  std::string tenant;
  std::optional<std::uint32_t> priority;
  std::string cacheSalt;
  std::optional<base::Endpoint> fetchFrom;
  std::optional<base::Endpoint> saveTo;
  /// The stream goes on behind this event; empty: from its start.
  std::string lastEventId;
};

/// How an attempt gets from this node to the replica.
struct RelayPath {
  /// Relay listener of the node that passes the attempt on; empty: a connection of this node.
  std::optional<base::Endpoint> via;
};

/// By what the end of a response's body is known.
enum class BodyFraming : std::uint8_t {
  /// Its length was announced, or is known by its status or method.
  kLength,
  /// It comes in chunks, of which the last is marked.
  kChunks,
  /// It ends with its connection.
  kConnectionEnd,
};

/// Name of the framing for logs.
constexpr std::string_view toString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnectionEnd:
      return "connection";
  }
  return "unknown";
}

/// Status and headers of a replica's answer, without headers that concern one connection only.
struct RelayedAnswer {
  unsigned status = 0;
  std::vector<HeaderField> headers;
  /// The replica says that it did not run the request.
  bool notExecuted = false;
  /// The address belongs to another run, or another replica, than the one expected.
  bool otherInstance = false;
  /// The version that the replica serves, where it says so.
  std::optional<base::WeightsVersion> version;
  /// Length of the body where it was announced.
  std::optional<std::uint64_t> length;
  BodyFraming framing = BodyFraming::kLength;
  /// The replica says that it is about to end: it wants no new work.
  bool leaving = false;
  /// The replica turned the request away and wants no other from this node for so long; zero where
  /// it does not ask for that.
  base::Duration rest{};
  /// It asked for a rest in a way that cannot be read.
  bool restUnreadable = false;
  RateLimitNotice rateLimit{};
  /// How many requests per second the replica may refuse for lack of capacity without failing.
  RateLimitNotice refusalLimit{};
};

/// Receiver of one attempt's answer. After onEnd or onFailure nothing follows. Never called from
/// inside `start`; it may destroy the call.
class RelayHandler {
 public:
  virtual ~RelayHandler() = default;
  /// Asked when a new connection is there, before the first byte is sent: where false, the attempt
  /// fails as not sent. The replica may have said meanwhile that it wants no more.
  virtual bool stillWanted() const { return true; }
  virtual void onHead(RelayedAnswer answer) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  /// The whole answer came, by its framing.
  virtual void onEnd() = 0;
  virtual void onFailure(DispatchError error) = 0;
  /// Asked when a response turns out to be unusable while its connection is still open: whether the
  /// failure is to be reported only once the replica has ended the connection, or has not within a
  /// bound.
  virtual bool runEndRequired() const { return false; }
};

/// An attempt in flight. Destroying it closes its connection, so that the replica stops its work
/// and receives no further byte of the request.
class RelayCall {
 public:
  virtual ~RelayCall() = default;
  /// While paused nothing is read from the replica.
  virtual void setPaused(bool paused) = 0;
  /// Number of sent bytes that the replica has not acknowledged; empty if that is not known.
  virtual std::optional<std::size_t> unacknowledgedBytes() const = 0;
  /// Whether bytes of the request may have left this node. If false, destroying the call means that
  /// none ever does.
  virtual bool mayHaveBeenSent() const { return true; }
  /// Closes the sending side of the connection, so that the replica stops its work as if the call
  /// was destroyed, and goes on receiving: the handler is told of a response that comes after all,
  /// or of the end of the connection on the replica's side. Returns false, and does nothing, if the
  /// end could not be seen.
  virtual bool withdraw() { return false; }
};

class RelayClient {
 public:
  virtual ~RelayClient() = default;
  /// Sends once, without retry. `handler` must outlive the returned call.
  virtual std::unique_ptr<RelayCall> start(const RelayPath& path, RelayedRequestPtr request,
                                           const DispatchTerms& terms, RelayHandler& handler) = 0;
};

}  // namespace covewing::clients
