/// \file
/// Binding of platform::EngineClient to hollow engines behind the simulated network, as seen from
/// one run of one node. Messages have the sizes that they have with the full engine model.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "capacity/hollow_engine.h"
#include "platform/engine_client.h"
#include "sim/exchange.h"

namespace covewing::capacity {

/// Finds the engine at a host; null when there is none.
using HollowEngineLookup = std::function<HollowEngine*(sim::HostId)>;

/// Told of each request that an engine took.
class AdmissionObserver {
 public:
  virtual ~AdmissionObserver() = default;
  /// `matchedBlocks` leading blocks of the chain came from the cache.
  virtual void onAdmitted(const HollowEngine& engine, const std::vector<base::BlockHash>& chain,
                          std::uint32_t matchedBlocks) = 0;
};

class HollowEngineClient final : public platform::EngineClient {
 public:
  HollowEngineClient(sim::Network& network, sim::HostId self, HollowEngineLookup engines,
                     AdmissionObserver* observer);
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

  HollowEngine* find(const platform::BackEndAddress& engine) const;
  void ask(const platform::BackEndAddress& engine,
           std::function<platform::EngineReport(HollowEngine&)> read,
           std::function<void(ReportAnswer)> callback);

  sim::Network& network_;
  sim::HostId self_;
  sim::Process& process_;
  HollowEngineLookup engines_;
  AdmissionObserver* observer_;
  sim::ExchangePool<ReportAnswer> reports_;
};

}  // namespace covewing::capacity
