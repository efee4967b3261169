/// \file
/// Checks whether a process accepts TCP connections at an address by opening one.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "clients/reachability_client.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

class ConnectProbe final : public clients::ReachabilityClient {
 public:
  /// `context` must outlive the probe. Connections are made from `sourceAddress` if it is given.
  explicit ConnectProbe(boost::asio::io_context& context,
                        std::optional<std::uint32_t> sourceAddress = {})
      : context_(context), sourceAddress_(sourceAddress) {}

  void connect(const base::Endpoint& address, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override;

 private:
  boost::asio::io_context& context_;
  std::optional<std::uint32_t> sourceAddress_;
  /// Expires with the probe: callbacks of attempts that are still in flight are then not called.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::live
