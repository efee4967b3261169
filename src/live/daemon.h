/// \file
/// One node as a process runs it: listeners, clients, peer transport and the node itself, on one
/// io_context thread.
#pragma once

#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/result_code.h"
#include "live/settings.h"
#include "node/node.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Makes the node; node::makeNode in covewingd.
using NodeFactory =
    std::function<std::unique_ptr<node::Node>(node::NodeOptions, node::NodeEnvironment)>;

/// Where the listeners are bound.
struct DaemonEndpoints {
  base::Endpoint caller;
  base::Endpoint operators;
  base::Endpoint peer;
  base::Endpoint metrics;
};

class Daemon {
 public:
  /// `context` and `log` must outlive the daemon.
  Daemon(boost::asio::io_context& context, Settings settings, base::EventLog& log,
         const NodeFactory& factory);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens all listeners, then starts the node. False, with `reason`, when a listener fails.
  bool start(base::Reason& reason);
  const DaemonEndpoints& endpoints() const;
  node::Node& node();

  /// Planned stop: takes no new connections, refuses new requests, finishes those in flight and
  /// hands every byte to the callers; `stopped` runs once, also when the bound has passed.
  void drain(std::function<void()> stopped);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
