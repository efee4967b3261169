/// \file
/// Options of the parts of a relaying node, derived from its settings and from the requirements of
/// relaying.
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

/// Limits of the connections to the relay listeners of other nodes.
HttpClientLimits peerLimits(const RelayDialect& dialect);
HttpClientLimits replicaLimits(const RelayDialect& dialect, const RelaySettings& settings);
membership::GossipMembershipOptions membershipOptions(const RelaySettings& settings);
node::WeightsCoordinatorOptions coordinatorOptions(const RelaySettings& settings);
admission::QuotaOptions quotaOptions();
/// Options for counting the nodes among which the slack of the retry bound is divided.
node::NodeCountOptions retryNodeCount();
config::SharedFeedOptions feedOptions(const RelaySettings& settings);
config::TableWatchOptions replicaWatchOptions(const std::string& table);

}  // namespace covewing::live
