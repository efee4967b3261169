/// \file
/// Orders and reports to replicas, each told to the home of a replica that names a rate limit: such
/// a replica takes all calls within its limit, not only requests.
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
  /// All must outlive the client.
  CallCountingWeightsClient(clients::WeightsClient& client,
                            const routing::ReplicaDirectory& replicas,
                            routing::Placement& placement)
      : client_(client), replicas_(replicas), placement_(placement) {}

  void onNotices(NoticeListener listener) override;
  void order(const base::Endpoint& replica, const std::string& instance,
             clients::WeightsOrder order,
             std::function<void(clients::WeightsOrderStatus)> callback) override;
  void report(const base::Endpoint& replica, const std::string& instance, const std::string& model,
              std::function<void(std::optional<clients::WeightsReport>)> callback) override;

 private:
  void countCall(const std::string& instance);

  clients::WeightsClient& client_;
  const routing::ReplicaDirectory& replicas_;
  routing::Placement& placement_;
};

}  // namespace covewing::node
