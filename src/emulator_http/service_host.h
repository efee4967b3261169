/// \file
/// One port of the emulator: a listener that can be taken down, as when its process dies, and
/// brought back at the same port.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "live/http_server.h"

namespace covewing::emulator_http {

class ServiceHost {
 public:
  ServiceHost(boost::asio::io_context& context, live::HttpHandler handler)
      : context_(context), handler_(std::move(handler)) {}

  /// Listens; port 0 takes a free one, which later starts keep.
  bool start(const base::Endpoint& endpoint, base::Reason& reason);
  /// Listens again at the same endpoint.
  bool restart(base::Reason& reason) { return start(endpoint_, reason); }
  /// Refuses connections and breaks the open ones.
  void stop() { server_.reset(); }

  bool isUp() const { return server_ != nullptr; }
  const base::Endpoint& endpoint() const { return endpoint_; }

 private:
  boost::asio::io_context& context_;
  live::HttpHandler handler_;
  base::Endpoint endpoint_;
  std::unique_ptr<live::HttpServer> server_;
};

}  // namespace covewing::emulator_http
