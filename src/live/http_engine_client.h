/// \file
/// Engines over HTTP (docs/PLATFORM.md).
#pragma once

#include <memory>
#include <string>

#include "base/time.h"
#include "live/http_client.h"
#include "platform/engine_client.h"

namespace covewing::live {

struct EngineClientTimeouts {
  /// A stream fails when nothing arrives for this long while it is not paused.
  base::Duration streamSilence = std::chrono::seconds(60);
  base::Duration report = std::chrono::seconds(2);
  base::Duration order = std::chrono::seconds(10);
};

class HttpEngineClient final : public platform::EngineClient {
 public:
  HttpEngineClient(HttpClient& client, base::TimerService& timers,
                   EngineClientTimeouts timeouts = {});

  std::unique_ptr<platform::EngineStream> start(const platform::BackEndAddress& engine,
                                                platform::EngineRequest request,
                                                platform::EngineStreamHandler& handler) override;
  void poll(const platform::BackEndAddress& engine, std::uint64_t fromSequence,
            std::function<void(std::optional<platform::EngineReport>)> callback) override;
  void snapshot(const platform::BackEndAddress& engine,
                std::function<void(std::optional<platform::EngineReport>)> callback) override;
  void order(const platform::BackEndAddress& engine, platform::EngineOrder order,
             std::function<void(platform::OrderReply)> callback) override;

 private:
  void fetchReport(const platform::BackEndAddress& engine, std::string target,
                   std::function<void(std::optional<platform::EngineReport>)> callback);
  HttpRequest controlRequest(std::string method, std::string target, std::string body);

  HttpClient& client_;
  base::TimerService& timers_;
  EngineClientTimeouts timeouts_;
  std::uint64_t lastControlRequest_ = 0;
};

}  // namespace covewing::live
