/// \file
/// A model engine behind the simulated network: the server side of its streams, and its life cycle
/// as one process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/engine_model.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

/// Receiver of an engine's stream at the client's end. Called on the client's process.
class EngineStreamReceiver {
 public:
  virtual ~EngineStreamReceiver() = default;
  virtual void onAccepted() = 0;
  virtual void onChunks(const std::vector<clients::StreamChunk>& chunks) = 0;
  virtual void onEnd(const clients::StreamEnd& end) = 0;
  virtual void onError(const clients::DispatchError& error) = 0;
};

struct EngineHostOptions {
  emulator::EngineModelOptions model;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
  /// Chunks that are sent in one network message; 1 sends each at once. Larger numbers make large
  /// runs cheaper, and delay chunks by as many steps. The first chunk is never held up.
  std::size_t chunksPerMessage = 1;
};

class EngineHost {
 public:
  EngineHost(Network& network, EngineHostOptions options,
             const emulator::EngineSurroundings& surroundings, std::uint64_t seed);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  const EngineHostOptions& options() const { return options_; }
  HostId host() const { return host_; }
  Process& process() { return process_; }
  emulator::EngineModel& model() { return model_; }

  /// Ends the process at once: streams break, the cache is gone.
  void crash();
  /// Comes back with the next incarnation and an empty cache.
  void restart();
  void pause() { process_.pause(); }
  void resume() { process_.resume(); }

  /// Serves a request that arrived on `connection`; what follows goes to `receiver`.
  void serve(clients::EngineRequest request, const ConnectionPtr& connection,
             std::shared_ptr<EngineStreamReceiver> receiver);

 private:
  class ServerStream;

  void dropFinished();

  Network& network_;
  EngineHostOptions options_;
  Process process_;
  HostId host_;
  emulator::EngineModel model_;
  /// By connection, so that destruction follows a fixed order.
  std::map<std::uint64_t, std::unique_ptr<ServerStream>> streams_;
  std::vector<std::uint64_t> finished_;
};

}  // namespace covewing::sim
