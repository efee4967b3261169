/// \file
/// Checks whether a process accepts TCP connections at an address by opening one.
#pragma once

#include <memory>

#include "clients/reachability_client.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

class ConnectProbe final : public clients::ReachabilityClient {
 public:
  /// `context` must outlive the probe.
  explicit ConnectProbe(boost::asio::io_context& context) : context_(context) {}

  void connect(const base::Endpoint& address, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override;

 private:
  boost::asio::io_context& context_;
  /// Expires with the probe: callbacks of attempts that are still in flight are then not called.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::live
