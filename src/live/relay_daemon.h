/// \file
/// The process of a relaying node: listeners, table feeds, membership, the relay of requests, and
/// the planned stop.
///
/// States: starting -> serving (ready while the configuration is loaded and confirmed and the list
/// of replicas is loaded) -> draining (not ready; connections are closed after their responses;
/// streams finish within the grace period) -> stopped.
#pragma once

#include <functional>
#include <memory>

#include "base/event_log.h"
#include "clients/cache_feed_client.h"
#include "clients/table_client.h"
#include "clients/table_feed_client.h"
#include "clients/weights_client.h"
#include "live/http_client.h"
#include "live/relay_dialect.h"
#include "live/relay_settings.h"
#include "node/replica_list.h"
#include "node/route_configuration.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Parts that are specific to a deployment: names and formats used by its callers, replicas and
/// services. All references must outlive the daemon.
struct RelayDeployment {
  const RelayDialect& dialect;
  const node::ConfigurationRowReader& configurationRows;
  const node::ReplicaRowReader& replicaRows;
  clients::TableFeedClient& feeds;
  clients::TableClient& table;
  clients::WeightsClient& weights;
  clients::CacheFeedClient& cacheFeeds;
  /// Names of the watched tables of the table service.
  std::string configurationTable;
  std::string replicaTable;
};

class RelayDaemon {
 public:
  RelayDaemon(boost::asio::io_context& context, RelaySettings settings, base::EventLog& log,
              const RelayDeployment& deployment);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /// Opens the listeners and starts all parts; on failure returns false and sets `reason`.
  bool start(base::Reason& reason);
  /// Begins the planned stop. `done` is called once, when all requests have finished or the grace
  /// period is over.
  void drain(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
