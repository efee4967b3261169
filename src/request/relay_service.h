/// \file
/// Takes up relayed requests: finds route, tenant and service in the configuration in force,
/// refuses what it does not allow, and runs a flow for each of the others.
///
/// A node that knows no configuration refuses everything as not run. Keys are accepted only while
/// the configuration was confirmed within the revocation bound, so that a key that was taken away
/// is refused by every node in time, also by one that lost touch or was paused.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/quota_window.h"
#include "base/random.h"
#include "request/relay_flow.h"

namespace covewing::request {

/// What a node knows of its configuration.
class RouteTableSource {
 public:
  virtual ~RouteTableSource() = default;
  /// Null before the first one.
  virtual config::RouteTablePtr table() const = 0;
  /// When the table was last proved to be the newest; empty when never.
  virtual std::optional<base::TimePoint> confirmedAt() const = 0;
};

struct RelayServiceOptions {
  RelayOptions relay;
  /// Keys are accepted for so long after the last confirmation; zero: without bound.
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

  /// Takes a request up. The flow, empty when the request was refused, is told by its owner when
  /// the caller goes away.
  std::weak_ptr<RelayFlow> begin(IncomingRequest incoming, std::unique_ptr<ResponseWriter> writer);
  std::size_t openRequests() const { return flows_.size(); }
  /// A version of weights was named or dated, or the clock has jumped: requests under way that must
  /// begin earlier than was known when they were sent are taken back by then, or at once.
  void onWeightsChanged();
  /// From now on new requests are refused as not run: the node stops before they would be over.
  void refuseNewRequests() { draining_ = true; }
  /// Whether keys may be accepted now.
  bool confirmed() const;

 private:
  std::optional<RelayRefusal> assign(const IncomingRequest& incoming, RelayAssignment& assignment);
  std::optional<RelayRefusal> checkKey(const IncomingRequest& incoming,
                                       RelayAssignment& assignment);
  /// Asked again before each dispatch.
  std::optional<RelayRefusal> recheck(const IncomingRequest& incoming,
                                      const RelayAssignment& assignment) const;
  RelayRefusal unconfirmed() const;
  /// What the request takes of its tenant's limit; empty without one.
  std::optional<admission::QuotaDemand> demandOf(const IncomingRequest& incoming,
                                                 const RelayAssignment& assignment) const;
  const config::Service* chooseService(const config::RouteTable& table, const config::Route& route);

  RelayServiceOptions options_;
  RelayDependencies dependencies_;
  const RouteTableSource& tables_;
  RelayFlow::NodeCount nodes_;
  /// In the order of arrival.
  std::map<std::uint64_t, FlowPtr> flows_;
  std::uint64_t lastFlowNumber_ = 0;
  bool draining_ = false;
  /// Smooth weighted round robin: the credit of each share, by route and service.
  std::unordered_map<std::string, double> credits_;
};

}  // namespace covewing::request
