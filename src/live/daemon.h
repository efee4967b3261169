/// \file
/// A complete node as it runs in a process: listeners, clients, peer transport and the node itself,
/// all on the single thread of one io_context.
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

/// Creates the node; covewingd passes node::makeNode.
using NodeFactory =
    std::function<std::unique_ptr<node::Node>(node::NodeOptions, node::NodeEnvironment)>;

/// Addresses that the listeners are bound to.
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

  /// Opens all listeners and starts the node. Returns false, with `reason`, if a listener cannot be
  /// opened.
  bool start(base::Reason& reason);
  const DaemonEndpoints& endpoints() const;
  node::Node& node();

  /// Planned stop: accepts no new connections, refuses new requests, finishes those in flight and
  /// sends all remaining bytes to the callers. `stopped` is called once, also if the time limit for
  /// the stop has passed.
  void drain(std::function<void()> stopped);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
