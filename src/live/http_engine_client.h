/// \file
/// Engines over HTTP (docs/PLATFORM.md).
#pragma once

#include <memory>
#include <string>

#include "base/time.h"
#include "clients/engine_client.h"
#include "live/http_client.h"

namespace covewing::live {

struct EngineClientTimeouts {
  /// A stream that is not paused fails if nothing is received for this long.
  base::Duration streamInactivityTimeout = std::chrono::seconds(60);
  base::Duration report = std::chrono::seconds(2);
  base::Duration order = std::chrono::seconds(10);
};

class HttpEngineClient final : public clients::EngineClient {
 public:
  HttpEngineClient(HttpClient& client, base::TimerService& timers,
                   EngineClientTimeouts timeouts = {});

  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress& engine,
                                               clients::EngineRequest request,
                                               clients::EngineStreamHandler& handler) override;
  void poll(const clients::BackEndAddress& engine, std::uint64_t fromSequence,
            std::function<void(std::optional<clients::EngineReport>)> callback) override;
  void snapshot(const clients::BackEndAddress& engine,
                std::function<void(std::optional<clients::EngineReport>)> callback) override;
  void order(const clients::BackEndAddress& engine, clients::EngineOrder order,
             std::function<void(clients::OrderReply)> callback) override;

 private:
  void fetchReport(const clients::BackEndAddress& engine, std::string target,
                   std::function<void(std::optional<clients::EngineReport>)> callback);
  HttpRequest controlRequest(std::string method, std::string target, std::string body);

  HttpClient& client_;
  base::TimerService& timers_;
  EngineClientTimeouts timeouts_;
  std::uint64_t lastControlRequest_ = 0;
};

}  // namespace covewing::live
