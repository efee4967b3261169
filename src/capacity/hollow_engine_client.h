/// \file
/// Implementation of clients::EngineClient that reaches hollow engines over the simulated network.
/// Each incarnation of a node has its own client. Messages have the same sizes as with the full
/// engine model.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "capacity/hollow_engine.h"
#include "clients/engine_client.h"
#include "sim/exchange.h"

namespace covewing::capacity {

/// Returns the engine at a host; null if the host has none.
using HollowEngineLookup = std::function<HollowEngine*(sim::HostId)>;

/// Notified of each request that an engine admitted.
class AdmissionObserver {
 public:
  virtual ~AdmissionObserver() = default;
  /// `matchedBlocks` is the number of leading blocks of the chain that were cached.
  virtual void onAdmitted(const HollowEngine& engine, const std::vector<base::BlockHash>& chain,
                          std::uint32_t matchedBlocks) = 0;
};

class HollowEngineClient final : public clients::EngineClient {
 public:
  HollowEngineClient(sim::Network& network, sim::HostId self, HollowEngineLookup engines,
                     AdmissionObserver* observer);
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
  using OptionalReport = std::optional<clients::EngineReport>;

  HollowEngine* find(const clients::BackEndAddress& engine) const;
  void requestReport(const clients::BackEndAddress& engine,
                     std::function<clients::EngineReport(HollowEngine&)> read,
                     std::function<void(OptionalReport)> callback);

  sim::Network& network_;
  sim::HostId self_;
  sim::Process& process_;
  HollowEngineLookup engines_;
  AdmissionObserver* observer_;
  sim::ExchangePool<OptionalReport> reports_;
};

}  // namespace covewing::capacity
