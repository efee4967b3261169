#include "node/call_counting_weights_client.h"

#include <utility>

namespace covewing::node {

void CallCountingWeightsClient::countCall(const std::string& instance) {
  const auto replica = replicas_.find(instance);
  if (replica && replica->notices().rateLimit().perSecond()) placement_.countControlCall(*replica);
}

void CallCountingWeightsClient::onNotices(NoticeListener listener) {
  client_.onNotices(std::move(listener));
}

void CallCountingWeightsClient::order(const clients::ReplicaTarget& replica,
                                      clients::WeightsOrder order,
                                      std::function<void(clients::WeightsOrderStatus)> callback) {
  countCall(replica.instance());
  client_.order(replica, std::move(order), std::move(callback));
}

void CallCountingWeightsClient::report(
    const clients::ReplicaTarget& replica, const std::string& model,
    std::function<void(std::optional<clients::WeightsReport>)> callback) {
  countCall(replica.instance());
  client_.report(replica, model, std::move(callback));
}

}  // namespace covewing::node
