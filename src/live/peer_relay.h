/// \file
/// Passes requests of other nodes on to replicas that those nodes do not reach themselves.
///
/// The other node has decided everything about the request: its tenant, its limits, the replica,
/// and whether it may be sent again. This node checks only what it may know better: that the
/// replica takes new work, and that the tenant exists. It sends the request once, on a connection
/// of its own, and never passes it on to a third node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "base/event_log.h"
#include "clients/reachability_client.h"
#include "live/http_client.h"
#include "live/http_server.h"
#include "live/relay_dialect.h"
#include "request/relay_service.h"
#include "routing/replica_directory.h"
#include "routing/replica_links.h"

namespace covewing::live {

struct PeerRelayOptions {
  /// Maximum number of requests that are passed on at the same time: with more, a small node that
  /// stands in for most of its zone would serve its own callers late.
  std::size_t maximumOpen = 256;
  /// A request that lay unread for longer than this is refused: the time that it states as left is
  /// no longer true, and the other node may ask another one.
  base::Duration maximumReadDelay = std::chrono::milliseconds(250);
  base::Duration probeTimeout = std::chrono::milliseconds(200);
};

/// Totals since the start of the process, for metrics.
struct PeerRelayCounters {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t lost = 0;
  std::uint64_t cancelled = 0;
};

/// All must outlive the relay and be used on its thread.
struct PeerRelayEnvironment {
  base::Clock& clock;
  base::EventLog& log;
  const RelayDialect& dialect;
  HttpClient& replicaHttp;
  clients::ReachabilityClient& reachability;
  const routing::ReplicaDirectory& replicas;
  routing::ReplicaLinks& links;
  const request::RouteTableSource& tables;
};

class PeerRelay {
 public:
  PeerRelay(PeerRelayOptions options, PeerRelayEnvironment environment);
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  /// Handles one request received by the relay listener.
  void handle(const HttpExchangePtr& exchange);
  /// The response to a request that the listener itself refuses.
  HttpResponse formatRefusal(const HttpRefusal& refusal);
  /// Refuses new requests from now on, because the node is about to stop.
  void refuseNewRequests() { draining_ = true; }
  /// Reports all open requests as lost, or as not sent where that is certain, because this node is
  /// about to end: the other nodes can go on with them.
  void endRequests();
  std::size_t open() const { return calls_.size(); }
  const PeerRelayCounters& counters() const { return counters_; }

 private:
  class Call;

  /// Why the request is not passed on; empty if it is.
  std::string_view refusalReason(const HttpExchange& exchange,
                                 const routing::ReplicaRecordPtr& replica) const;
  /// Whether the replica takes requests from this node.
  bool accepts(const routing::ReplicaRecord& replica) const;
  void probe(const HttpExchangePtr& exchange, const routing::ReplicaRecord& replica) const;
  /// Logs that a request was not passed on or not answered, and returns the response.
  HttpResponse failureResponse(const HttpRequest& request, const base::Endpoint& peer,
                               std::string_view failure, std::string_view why,
                               clients::RunEnd runEnd);
  void respondFailure(const HttpExchangePtr& exchange, std::string_view failure,
                      std::string_view why, clients::RunEnd runEnd = clients::RunEnd::kNotShown);
  void pass(const HttpExchangePtr& exchange, const routing::ReplicaRecordPtr& replica);
  void onEnded(Call& call);

  PeerRelayOptions options_;
  PeerRelayEnvironment environment_;
  PeerRelayCounters counters_;
  std::unordered_map<Call*, std::shared_ptr<Call>> calls_;
  bool draining_ = false;
};

}  // namespace covewing::live
