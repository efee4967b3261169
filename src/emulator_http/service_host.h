/// \file
/// One port of the emulator: a listener that can be stopped, as if its process had died, and
/// restarted on the same port.
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

  /// Starts listening; port 0 selects a free port, which `restart` uses again. Returns false with a
  /// reason if the port cannot be opened.
  bool start(const base::Endpoint& endpoint, base::Reason& reason);
  /// Starts listening again on the same endpoint.
  bool restart(base::Reason& reason) { return start(endpoint_, reason); }
  /// Stops listening and closes the open connections.
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
