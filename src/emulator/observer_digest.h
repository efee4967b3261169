/// \file
/// One number over everything that back ends did, in order: equal for equal runs.
#pragma once

#include <cstdint>
#include <string_view>

#include "emulator/execution_observer.h"

namespace covewing::emulator {

class ObserverDigest final : public ExecutionObserver {
 public:
  std::uint64_t value() const { return digest_; }
  std::uint64_t events() const { return events_; }

  void onRefused(base::EngineId engine, const clients::EngineRequest& request,
                 const base::Reason& reason) override;
  void onAccepted(const ExecutionRecord& record) override;
  void onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) override;
  void onChunk(const ExecutionRecord& record, const clients::StreamChunk& chunk) override;
  void onFinished(const ExecutionRecord& record, ExecutionEnd end) override;
  void onBlockStored(base::EngineId engine, base::BlockHash block) override;
  void onBlockEvicted(base::EngineId engine, base::BlockHash block) override;
  void onCacheLost(base::EngineId engine) override;
  void onOrder(base::EngineId engine, const clients::EngineOrder& order,
               const clients::OrderReply& reply) override;
  void onApplicationExecuted(const ApplicationExecution& execution) override;

 private:
  enum class Kind : std::uint64_t;
  void begin(Kind kind);
  void add(std::uint64_t value);
  void add(std::string_view text);

  std::uint64_t digest_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace covewing::emulator
