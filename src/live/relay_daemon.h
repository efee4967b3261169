/// \file
/// A relaying node as a process: listeners, feeds, membership, the relay of requests, and the
/// planned stop.
///
/// States: starting -> serving (ready while the configuration is known and confirmed and the list
/// of replicas is known) -> draining (not ready; answers close their connections; streams finish
/// within the grace) -> stopped.
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

/// What a deployment brings: names and formats of its clients, replicas and services. All must
/// outlive the daemon.
struct RelayDeployment {
  const RelayDialect& dialect;
  const node::ConfigurationRowReader& configurationRows;
  const node::ReplicaRowReader& replicaRows;
  clients::TableFeedClient& feeds;
  clients::TableClient& table;
  clients::WeightsClient& weights;
  clients::CacheFeedClient& cacheFeeds;
  /// Names of the tables that are watched.
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

  /// Opens the listeners and begins; false with the reason.
  bool start(base::Reason& reason);
  /// Planned stop; `done` is called once when everything is finished or the grace is over.
  void drain(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
