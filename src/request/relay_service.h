/// \file
/// Accepts relayed requests: finds the route, tenant and service in the configuration in force,
/// refuses requests that it does not allow, and runs a flow for each of the others.
///
/// A node without a configuration refuses all requests as not run. Keys are accepted only if the
/// configuration was confirmed recently enough, so that a revoked key is refused by every node
/// within the revocation bound, also by a node that lost contact or was paused.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/quota_window.h"
#include "base/random.h"
#include "request/relay_flow.h"

namespace covewing::request {

/// Access to the configuration of the node.
class RouteTableSource {
 public:
  virtual ~RouteTableSource() = default;
  /// The route table in force; null before the first one was received.
  virtual config::RouteTablePtr table() const = 0;
  /// Time as of which the table was last known to be the newest one; empty if this was never
  /// confirmed.
  virtual std::optional<base::TimePoint> confirmedAt() const = 0;
};

struct RelayServiceOptions {
  RelayOptions relay;
  /// Time for which keys are accepted after the last confirmation of the configuration; zero means
  /// no limit.
  base::Duration confirmationBound{};
  admission::QuotaWindow quotaWindow;
  base::Duration retryAfterNoConfiguration = std::chrono::milliseconds(500);
  base::Duration retryAfterUnconfirmed = std::chrono::milliseconds(200);
  base::Duration retryAfterDraining = std::chrono::milliseconds(100);
};

class RelayService {
 public:
  using FlowPtr = std::shared_ptr<RelayFlow>;

  RelayService(RelayServiceOptions options, RelayDependencies dependencies,
               const RouteTableSource& tables, RelayFlow::NodeCount nodes);
  ~RelayService();
  RelayService(const RelayService&) = delete;
  RelayService& operator=(const RelayService&) = delete;

  /// Accepts or refuses a request. Returns its flow, or an empty pointer if the request was
  /// refused. The caller of this function must notify the flow when the caller of the request
  /// disconnects.
  std::weak_ptr<RelayFlow> begin(IncomingRequest incoming, std::unique_ptr<ResponseWriter> writer);
  std::size_t openRequests() const { return flows_.size(); }
  /// Called when a version of the weights was announced, when the time of its announcement became
  /// known, or when the clock has jumped. Requests in flight that must start earlier than was known
  /// when they were sent are withdrawn by that time, or at once if it has passed.
  void onWeightsChanged();
  /// The node stops, and gives its last responses at `lastResponsesAt`: requests that could not be
  /// answered by then are refused, those that wait already and new ones.
  void stopBy(base::TimePoint lastResponsesAt);
  /// Refuses new requests as not run from now on, because the node would stop before they end.
  void refuseNewRequests() { draining_ = true; }
  /// Ends all open requests with a response, because the node is about to end. A request that may
  /// have been executed gets one that promises nothing.
  void endRequests();
  /// Whether the configuration was confirmed recently enough for keys to be accepted.
  bool confirmed() const;

 private:
  std::optional<RelayRefusal> assign(const IncomingRequest& incoming, RelayAssignment& assignment);
  std::optional<RelayRefusal> checkKey(const IncomingRequest& incoming,
                                       RelayAssignment& assignment);
  /// Checks the key and the confirmation of the configuration again, before each dispatch.
  std::optional<RelayRefusal> recheck(const IncomingRequest& incoming,
                                      const RelayAssignment& assignment) const;
  RelayRefusal unconfirmed() const;
  /// The open flows. Flows may end while others are called, which changes `flows_`.
  std::vector<FlowPtr> openFlows() const;
  /// Quota that the request takes from its tenant's limit; empty if the tenant has no limit.
  std::optional<admission::QuotaDemand> demandOf(const IncomingRequest& incoming,
                                                 const RelayAssignment& assignment) const;
  const config::Service* chooseService(const config::RouteTable& table, const config::Route& route);

  RelayServiceOptions options_;
  RelayDependencies dependencies_;
  const RouteTableSource& tables_;
  RelayFlow::NodeCount nodes_;
  /// Open flows in the order of their arrival.
  std::map<std::uint64_t, FlowPtr> flows_;
  std::uint64_t lastFlowNumber_ = 0;
  bool draining_ = false;
  std::optional<base::TimePoint> lastResponsesAt_;
  /// State of the smooth weighted round robin: the credit of each share of a split route, by route
  /// and service.
  std::unordered_map<std::string, double> credits_;
};

}  // namespace covewing::request
