/// \file
/// Serves one engine model over HTTP (docs/PLATFORM.md, "Engine").
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "emulator/engine_model.h"
#include "live/http_server.h"

namespace covewing::emulator_http {

class EngineService {
 public:
  /// `engine` must outlive the service.
  explicit EngineService(emulator::EngineModel& engine);
  ~EngineService();
  EngineService(const EngineService&) = delete;
  EngineService& operator=(const EngineService&) = delete;

  void handle(const live::HttpExchangePtr& exchange);

 private:
  class Stream;
  using StreamId = std::uint64_t;

  void generate(const live::HttpExchangePtr& exchange);
  void report(const live::HttpExchangePtr& exchange);
  void snapshot(const live::HttpExchangePtr& exchange);
  void order(const live::HttpExchangePtr& exchange);
  void cancel(StreamId stream);
  void removeStream(StreamId stream);

  emulator::EngineModel& engine_;
  std::unordered_map<StreamId, std::unique_ptr<Stream>> streams_;
  StreamId lastStreamId_ = 0;
};

}  // namespace covewing::emulator_http
