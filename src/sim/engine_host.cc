#include "sim/engine_host.h"

#include <utility>

namespace covewing::sim {

namespace {
/// One server-sent event with its JSON, without the text.
constexpr std::size_t kChunkOverhead = 32;
constexpr std::size_t kEndBytes = 110;
constexpr std::size_t kAnswerHead = 150;
}  // namespace

/// Passes one stream of the model on to its connection.
class EngineHost::ServerStream final : public clients::EngineStreamHandler {
 public:
  ServerStream(EngineHost& owner, ConnectionPtr connection,
               std::shared_ptr<EngineStreamReceiver> receiver)
      : owner_(owner), connection_(std::move(connection)), receiver_(std::move(receiver)) {}

  void setExecution(emulator::ExecutionId execution) { execution_ = execution; }

  void onAccepted() override {
    send(kAnswerHead, [receiver = receiver_] { receiver->onAccepted(); });
  }

  void onChunk(clients::StreamChunk chunk) override {
    buffered_.push_back(std::move(chunk));
    if (!firstSent_ || buffered_.size() >= owner_.options_.chunksPerMessage) flush();
  }

  void onEnd(clients::StreamEnd end) override {
    flush();
    send(kEndBytes, [receiver = receiver_, end = std::move(end)] { receiver->onEnd(end); });
    finish();
  }

  void onError(clients::DispatchError error) override {
    flush();
    send(kAnswerHead,
         [receiver = receiver_, error = std::move(error)] { receiver->onError(error); });
    finish();
  }

  /// The client closed the connection, or it broke.
  void onClosed() {
    if (over_) return;
    owner_.model_.cancel(execution_);
    finish();
  }

 private:
  void send(std::size_t bytes, std::function<void()> deliver) {
    connection_->send(Connection::Side::kServer, bytes, std::move(deliver));
  }

  void flush() {
    if (buffered_.empty()) return;
    firstSent_ = true;
    std::size_t bytes = 0;
    for (const auto& chunk : buffered_) bytes += kChunkOverhead + chunk.text.size();
    send(bytes, [receiver = receiver_, chunks = std::exchange(buffered_, {})] {
      receiver->onChunks(chunks);
    });
  }

  void finish() {
    over_ = true;
    connection_->onClosed(Connection::Side::kServer, nullptr);
    owner_.finished_.push_back(connection_->id());
  }

  EngineHost& owner_;
  ConnectionPtr connection_;
  std::shared_ptr<EngineStreamReceiver> receiver_;
  emulator::ExecutionId execution_ = 0;
  std::vector<clients::StreamChunk> buffered_;
  bool firstSent_ = false;
  bool over_ = false;
};

EngineHost::EngineHost(Network& network, EngineHostOptions options,
                       const emulator::EngineSurroundings& surroundings, std::uint64_t seed)
    : network_(network),
      options_(std::move(options)),
      process_(network.scheduler(), options_.model.name, seed),
      host_(network.addHost(process_, options_.endpoint, options_.zone, options_.region)),
      model_((process_.start(), options_.model), surroundings, process_, process_, process_) {}

EngineHost::~EngineHost() = default;

void EngineHost::crash() {
  if (process_.crashed()) return;
  process_.resume();
  // Broken first, so that what the model says while it dies reaches nobody.
  network_.breakConnections(host_);
  model_.crash();
  process_.crash();
  streams_.clear();
  finished_.clear();
}

void EngineHost::restart() {
  if (!process_.crashed()) return;
  process_.start();
  model_.restart();
}

void EngineHost::serve(clients::EngineRequest request, const ConnectionPtr& connection,
                       std::shared_ptr<EngineStreamReceiver> receiver) {
  dropFinished();
  auto stream = std::make_unique<ServerStream>(*this, connection, std::move(receiver));
  auto& handler = *stream;
  streams_.emplace(connection->id(), std::move(stream));
  connection->onClosed(Connection::Side::kServer, [this, id = connection->id()] {
    const auto found = streams_.find(id);
    if (found != streams_.end()) found->second->onClosed();
  });
  handler.setExecution(model_.submit(std::move(request), handler));
}

void EngineHost::dropFinished() {
  for (const auto id : finished_) streams_.erase(id);
  finished_.clear();
}

}  // namespace covewing::sim
