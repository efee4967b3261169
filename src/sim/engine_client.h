/// \file
/// Binding of clients::EngineClient to engine hosts behind the simulated network, as seen from one
/// run of one node.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "clients/engine_client.h"
#include "sim/engine_host.h"
#include "sim/exchange.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

/// Finds the engine at a host; null when there is none.
using EngineLookup = std::function<EngineHost*(HostId)>;

class SimEngineClient final : public clients::EngineClient {
 public:
  SimEngineClient(Network& network, HostId self, EngineLookup engines);
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
  using ReportAnswer = std::optional<clients::EngineReport>;
  using ReportCallback = std::function<void(ReportAnswer)>;

  EngineHost* find(const clients::BackEndAddress& engine) const;
  void askReport(const clients::BackEndAddress& engine,
                 std::function<void(emulator::EngineModel&, ReportCallback)> ask,
                 ReportCallback callback);

  Network& network_;
  HostId self_;
  Process& process_;
  EngineLookup engines_;
  ExchangePool<ReportAnswer> reports_;
  ExchangePool<clients::OrderReply> orders_;
};

}  // namespace covewing::sim
