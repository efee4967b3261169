/// \file
/// Binding of platform::EngineClient to engine hosts behind the simulated network, as seen from one
/// run of one node.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "platform/engine_client.h"
#include "sim/engine_host.h"
#include "sim/exchange.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

/// Finds the engine at a host; null when there is none.
using EngineLookup = std::function<EngineHost*(HostId)>;

class SimEngineClient final : public platform::EngineClient {
 public:
  SimEngineClient(Network& network, HostId self, EngineLookup engines);
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
  using ReportAnswer = std::optional<platform::EngineReport>;
  using ReportCallback = std::function<void(ReportAnswer)>;

  EngineHost* find(const platform::BackEndAddress& engine) const;
  void askReport(const platform::BackEndAddress& engine,
                 std::function<void(emulator::EngineModel&, ReportCallback)> ask,
                 ReportCallback callback);

  Network& network_;
  HostId self_;
  Process& process_;
  EngineLookup engines_;
  ExchangePool<ReportAnswer> reports_;
  ExchangePool<platform::OrderReply> orders_;
};

}  // namespace covewing::sim
