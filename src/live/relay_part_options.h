/// \file
/// Options of the parts of a relaying node, by its settings and by what relaying needs of them.
#pragma once

#include <string>

#include "admission/admission_options.h"
#include "config/shared_feed.h"
#include "config/table_watch.h"
#include "live/http_client.h"
#include "live/relay_dialect.h"
#include "live/relay_settings.h"
#include "membership/gossip_membership.h"
#include "node/node_count.h"
#include "node/weights_coordinator.h"

namespace covewing::live {

HttpClientLimits replicaLimits(const RelayDialect& dialect);
membership::GossipMembershipOptions membershipOptions(const RelaySettings& settings);
node::WeightsCoordinatorOptions coordinatorOptions(const RelaySettings& settings);
admission::QuotaOptions quotaOptions();
/// How the nodes that share the slack of the bound on retries are counted.
node::NodeCountOptions retryNodeCount();
config::SharedFeedOptions feedOptions(const RelaySettings& settings);
config::TableWatchOptions replicaWatchOptions(const std::string& table);

}  // namespace covewing::live
