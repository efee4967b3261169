/// \file
/// Forwards weights orders and reports to replicas and counts each call at the replica's home node
/// if the replica has reported a rate limit: its limit covers all calls, not only requests.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "clients/weights_client.h"
#include "routing/placement.h"
#include "routing/replica_directory.h"

namespace covewing::node {

class CallCountingWeightsClient final : public clients::WeightsClient {
 public:
  /// All arguments must outlive the client.
  CallCountingWeightsClient(clients::WeightsClient& client,
                            const routing::ReplicaDirectory& replicas,
                            routing::Placement& placement)
      : client_(client), replicas_(replicas), placement_(placement) {}

  void onNotices(NoticeListener listener) override;
  void order(const clients::ReplicaTarget& replica, clients::WeightsOrder order,
             std::function<void(clients::WeightsOrderStatus)> callback) override;
  void report(const clients::ReplicaTarget& replica, const std::string& model,
              std::function<void(std::optional<clients::WeightsReport>)> callback) override;

 private:
  void countCall(const std::string& instance);

  clients::WeightsClient& client_;
  const routing::ReplicaDirectory& replicas_;
  routing::Placement& placement_;
};

}  // namespace covewing::node
