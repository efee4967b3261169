/// \file
/// Tells by a TCP connection whether a process accepts connections at an address.
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
  /// Outlived by callbacks that must no longer be called.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::live
